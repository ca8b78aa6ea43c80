package cli

import (
	"context"
	"errors"
	"io"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/google/uuid"
)

type applyCommand struct {
	env  *env
	ID   string `long:"id" value-name:"ID" description:"Id of the edit; a repetition with the same id changes nothing twice"`
	Base int64  `long:"base" value-name:"VERSION" default:"-1" default-mask:"the version in force" description:"Version that the text edits; another version in force refuses it"`
	In   bool   `long:"zones-in" description:"Also take zones back into service as the text says; without it a zone that is out of service stays out"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// applyResult is the JSON output of apply.
type applyResult struct {
	ID      string          `json:"id"`
	Version int64           `json:"version"`
	Changes []config.Change `json:"changes"`
	// KeptOut lists the zones that stay out of service although the text has them in.
	KeptOut []model.Zone `json:"keptOut,omitempty"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	data, err := c.env.readInput(c.Args.File)
	if err != nil {
		return err
	}
	text, findings := config.Parse(c.Args.File, data)
	if len(findings) > 0 {
		refused := badInput("the text has %d findings", len(findings))
		for _, f := range findings {
			refused.Findings = append(refused.Findings, f.String())
		}
		return refused
	}
	result, err := c.publish(data, text)
	if err != nil {
		return err
	}
	return c.env.print(result, func(w io.Writer) {
		writeChanges(w, result.Changes)
		for _, zone := range result.KeptOut {
			line(w, "zone %s stays out of service: use --zones-in or 'daisyfold zone in %s'", zone, zone)
		}
		line(w, "version %d is accepted", result.Version)
	})
}

func (c *applyCommand) publish(data []byte, text *config.Text) (*applyResult, error) {
	current, err := currentText(c.env)
	if err != nil {
		return nil, err
	}
	var kept []model.Zone
	if !c.In {
		data, kept, err = keepOut(data, text, current.text)
	}
	if err != nil {
		return nil, err
	}
	edit := &api.ConfigEdit{ID: orNewID(c.ID), BaseVersion: current.version, Text: string(data)}
	if c.Base >= 0 {
		edit.BaseVersion = c.Base
	}
	accepted, err := call(c.env, func(ctx context.Context, client *api.Client) (*api.ConfigAccepted, error) {
		return client.PublishConfig(ctx, edit)
	})
	if err != nil {
		return nil, withID(err, edit.ID)
	}
	return &applyResult{
		ID: edit.ID, Version: accepted.Version, Changes: config.Diff(current.text, text), KeptOut: kept,
	}, nil
}

// keepOut changes next and its text so that zones that are out of service in current
// stay out. The file with the text is often older than the last 'zone out'.
func keepOut(data []byte, next, current *config.Text) ([]byte, []model.Zone, error) {
	var kept []model.Zone
	for i := range next.AvailabilityZones {
		zone := &next.AvailabilityZones[i]
		if !zone.InService || !isOut(current, zone.Name) {
			continue
		}
		edited, err := config.SetZone(data, zone.Name, false)
		if err != nil {
			return nil, nil, err
		}
		data, zone.InService = edited, false
		kept = append(kept, zone.Name)
	}
	return data, kept, nil
}

func isOut(text *config.Text, name model.Zone) bool {
	if text == nil {
		return false
	}
	zone := text.Zone(name)
	return zone != nil && !zone.InService
}

// inForce is the configuration in force; version 0 stands for none.
type inForce struct {
	version int64
	text    *config.Text
}

func currentText(e *env) (inForce, error) {
	answer, err := call(e, func(ctx context.Context, client *api.Client) (*api.ConfigText, error) {
		return client.GetConfig(ctx)
	})
	var refused *api.ErrorStatusCode
	if errors.As(err, &refused) && refused.Response.Code == string(apierror.CodeNoConfiguration) {
		return inForce{}, nil
	}
	if err != nil {
		return inForce{}, err
	}
	text, _ := config.Parse("in force", []byte(answer.Text))
	return inForce{version: answer.Version, text: text}, nil
}

func writeChanges(w io.Writer, changes []config.Change) {
	for _, c := range changes {
		line(w, "%s", c)
	}
	if len(changes) == 0 {
		line(w, "no changes")
	}
}

func orNewID(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}
