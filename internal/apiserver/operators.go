package apiserver

import (
	"context"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/auth"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
)

// publishedFile stands for the text's name in findings on a published text.
const publishedFile = "text"

// GetStatus implements api.Handler. An organisation sees only its own figures.
func (s *server) GetStatus(ctx context.Context) (*api.Status, error) {
	status := *s.Status.Status(ctx)
	identity := auth.FromContext(ctx)
	if identity.IsOperator() {
		return &status, nil
	}
	own := []api.OrganisationStatus{}
	for _, o := range status.Organisations {
		if o.Organisation == string(identity.Organisation) {
			own = append(own, o)
		}
	}
	status.Organisations = own
	status.Findings = nil
	return &status, nil
}

// ListEvents implements api.Handler.
func (s *server) ListEvents(ctx context.Context, params api.ListEventsParams) (*api.EventList, error) {
	if err := requireOperator(ctx); err != nil {
		return nil, err
	}
	list := &api.EventList{Events: []api.Event{}}
	for _, e := range s.Status.Events(time.UnixMilli(params.SinceUnixMS.Or(0))) {
		list.Events = append(list.Events, api.Event{
			UnixMS: e.Time.UnixMilli(), Part: e.Part, Message: e.Message,
		})
	}
	return list, nil
}

// GetConfig implements api.Handler.
func (s *server) GetConfig(ctx context.Context) (*api.ConfigText, error) {
	if err := requireOperator(ctx); err != nil {
		return nil, err
	}
	current := s.Config()
	if current == nil {
		return nil, noConfiguration()
	}
	return &api.ConfigText{Version: current.Version, Text: string(current.Raw)}, nil
}

// PublishConfig implements api.Handler.
func (s *server) PublishConfig(ctx context.Context, req *api.ConfigEdit) (*api.ConfigAccepted, error) {
	id, err := chosenID(api.NewOptString(req.ID))
	if err != nil {
		return nil, err
	}
	text, findings := config.Parse(publishedFile, []byte(req.Text))
	if err := s.mayPublish(ctx, text, req.BaseVersion); err != nil {
		return nil, err
	}
	if len(findings) > 0 {
		refused := apierror.NotRun(apierror.CodeBadInput, "the text has %d findings", len(findings))
		refused.Findings = findings
		return nil, refused
	}
	version, publishErr := s.Configs.Publish(ctx, id, req.BaseVersion, []byte(req.Text))
	if publishErr != nil {
		return nil, errorAnswer(asAPIError(publishErr), id)
	}
	return &api.ConfigAccepted{Version: version}, nil
}

// mayPublish checks the publisher. The first text is published with the bootstrap key
// or, when there is none, with an operator key of that text.
func (s *server) mayPublish(ctx context.Context, text *config.Text, base int64) error {
	key, bootstrap := ctx.Value(bearerKey{}).(string)
	if !bootstrap {
		return requireOperator(ctx)
	}
	if base != 0 {
		return noConfiguration()
	}
	if s.BootstrapKeyHash != "" {
		return allowIf(auth.MatchHash(key, s.BootstrapKeyHash))
	}
	if text == nil {
		return nil // the findings refuse it
	}
	identity, ok := auth.Identify(text, key)
	return allowIf(ok && identity.IsOperator())
}

func allowIf(ok bool) error {
	if !ok {
		return unauthorised()
	}
	return nil
}

// SetZone implements api.Handler.
func (s *server) SetZone(ctx context.Context, req *api.ZoneChange, params api.SetZoneParams) (*api.ZoneChanged, error) {
	if err := requireOperator(ctx); err != nil {
		return nil, err
	}
	id, err := chosenID(api.NewOptString(req.ID))
	if err != nil {
		return nil, err
	}
	zone := model.Zone(params.Zone)
	if current := s.Config(); current == nil || current.Parsed.Zone(zone) == nil {
		return nil, apierror.NotRun(apierror.CodeNotFound, "there is no availability zone %q", zone)
	}
	state, version, setErr := s.Configs.SetZone(ctx, id, zone, req.InService)
	if setErr != nil {
		return nil, errorAnswer(asAPIError(setErr), id)
	}
	return &api.ZoneChanged{State: api.ZoneChangedState(state), Version: version}, nil
}

func requireOperator(ctx context.Context) error {
	identity := auth.FromContext(ctx)
	if !identity.IsOperator() {
		return apierror.NotRun(apierror.CodeForbidden, "only operators may do this, not %s", identity)
	}
	return nil
}
