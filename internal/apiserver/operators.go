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

// publishedFileName is the file name in findings on a published configuration.
const publishedFileName = "text"

// GetStatus implements api.Handler. An organisation gets only its own entry and no
// findings.
func (s *server) GetStatus(ctx context.Context) (*api.Status, error) {
	status := *s.Status.Status(ctx)
	identity := auth.FromContext(ctx)
	if identity.IsOperator() {
		return &status, nil
	}
	ownEntries := []api.OrganisationStatus{}
	for _, o := range status.Organisations {
		if o.Organisation == string(identity.Organisation) {
			ownEntries = append(ownEntries, o)
		}
	}
	status.Organisations = ownEntries
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
		return nil, noConfigurationError()
	}
	return &api.ConfigText{Version: current.Version, Text: string(current.Text)}, nil
}

// PublishConfig implements api.Handler.
func (s *server) PublishConfig(ctx context.Context, req *api.ConfigEdit) (*api.ConfigAccepted, error) {
	id, err := validIDOrNew(api.NewOptString(req.ID))
	if err != nil {
		return nil, err
	}
	cfg, findings := config.Parse(publishedFileName, []byte(req.Text))
	if err := s.authorisePublish(ctx, cfg, req.BaseVersion); err != nil {
		return nil, err
	}
	if len(findings) > 0 {
		rejected := apierror.NotRun(apierror.CodeBadInput, "the configuration has %d findings", len(findings))
		rejected.Findings = findings
		return nil, rejected
	}
	version, publishErr := s.Configs.Publish(ctx, id, req.BaseVersion, []byte(req.Text))
	if publishErr != nil {
		return nil, errorResponse(toAPIError(publishErr), id)
	}
	return &api.ConfigAccepted{Version: version}, nil
}

// authorisePublish returns an error if the caller may not publish a configuration. The
// first configuration requires the bootstrap key or, if none is set, an operator key of
// that configuration.
func (s *server) authorisePublish(ctx context.Context, cfg *config.Config, baseVersion int64) error {
	key, bootstrap := ctx.Value(bearerContextKey{}).(string)
	if !bootstrap {
		return requireOperator(ctx)
	}
	if baseVersion != 0 {
		return noConfigurationError()
	}
	if s.BootstrapKeyHash != "" {
		return unauthorisedUnless(auth.MatchHash(key, s.BootstrapKeyHash))
	}
	if cfg == nil {
		return nil // the caller rejects the configuration with its findings
	}
	identity, ok := auth.Identify(cfg, key)
	return unauthorisedUnless(ok && identity.IsOperator())
}

// unauthorisedUnless returns nil if ok is true, and an unauthorised error otherwise.
func unauthorisedUnless(ok bool) error {
	if !ok {
		return unauthorisedError()
	}
	return nil
}

// SetZone implements api.Handler.
func (s *server) SetZone(ctx context.Context, req *api.ZoneChange, params api.SetZoneParams) (*api.ZoneChanged, error) {
	if err := requireOperator(ctx); err != nil {
		return nil, err
	}
	id, err := validIDOrNew(api.NewOptString(req.ID))
	if err != nil {
		return nil, err
	}
	zone := model.Zone(params.Zone)
	if current := s.Config(); current == nil || current.Parsed.Zone(zone) == nil {
		return nil, apierror.NotRun(apierror.CodeNotFound, "there is no availability zone %q", zone)
	}
	state, version, setErr := s.Configs.SetZone(ctx, id, zone, req.InService)
	if setErr != nil {
		return nil, errorResponse(toAPIError(setErr), id)
	}
	return &api.ZoneChanged{State: api.ZoneChangedState(state), Version: version}, nil
}

// requireOperator returns a forbidden error if the caller is not an operator.
func requireOperator(ctx context.Context) error {
	identity := auth.FromContext(ctx)
	if !identity.IsOperator() {
		return apierror.NotRun(apierror.CodeForbidden, "only operators may do this, not %s", identity)
	}
	return nil
}
