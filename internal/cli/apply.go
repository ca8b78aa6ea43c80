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
	env         *env
	ID          string `long:"id" value-name:"ID" description:"Id of the edit; repeating the command with the same id applies the edit only once"`
	BaseVersion int64  `long:"base" value-name:"VERSION" default:"-1" default-mask:"the version in force" description:"Version that the edit is based on; the edit is refused if another version is in force"`
	ZonesIn     bool   `long:"zones-in" description:"Also take zones back into service if the configuration has them in service; by default, a zone that is out of service stays out"`
	Args        struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// applyResult is the JSON output of apply.
type applyResult struct {
	ID      string          `json:"id"`
	Version int64           `json:"version"`
	Changes []config.Change `json:"changes"`
	// KeptOut lists the zones that stay out of service although the file has them in
	// service.
	KeptOut []model.Zone `json:"keptOut,omitempty"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	data, err := c.env.readInput(c.Args.File)
	if err != nil {
		return err
	}
	cfg, findings := config.Parse(c.Args.File, data)
	if len(findings) > 0 {
		inputErr := badInputError("the configuration has %d findings", len(findings))
		for _, f := range findings {
			inputErr.Findings = append(inputErr.Findings, f.String())
		}
		return inputErr
	}
	result, err := c.publish(data, cfg)
	if err != nil {
		return err
	}
	return c.env.print(result, func(w io.Writer) {
		writeChanges(w, result.Changes)
		for _, zone := range result.KeptOut {
			writeLine(w, "zone %s stays out of service: use --zones-in or 'daisyfold zone in %s'", zone, zone)
		}
		writeLine(w, "version %d is accepted", result.Version)
	})
}

func (c *applyCommand) publish(data []byte, cfg *config.Config) (*applyResult, error) {
	current, err := fetchCurrentConfig(c.env)
	if err != nil {
		return nil, err
	}
	var keptOut []model.Zone
	if !c.ZonesIn {
		data, keptOut, err = keepZonesOut(data, cfg, current.cfg)
	}
	if err != nil {
		return nil, err
	}
	edit := &api.ConfigEdit{ID: idOrNew(c.ID), BaseVersion: current.version, Text: string(data)}
	if c.BaseVersion >= 0 {
		edit.BaseVersion = c.BaseVersion
	}
	accepted, err := callAPI(c.env, func(ctx context.Context, client *api.Client) (*api.ConfigAccepted, error) {
		return client.PublishConfig(ctx, edit)
	})
	if err != nil {
		return nil, withRequestID(err, edit.ID)
	}
	return &applyResult{
		ID: edit.ID, Version: accepted.Version, Changes: config.Diff(current.cfg, cfg), KeptOut: keptOut,
	}, nil
}

// keepZonesOut changes next and data, from which it was parsed, so that zones that are out
// of service in current stay out. It returns the changed data and the names of these zones.
// The published file is often older than the last 'zone out'.
func keepZonesOut(data []byte, next, current *config.Config) ([]byte, []model.Zone, error) {
	var keptOut []model.Zone
	for i := range next.AvailabilityZones {
		zone := &next.AvailabilityZones[i]
		if !zone.InService || !isOutOfService(current, zone.Name) {
			continue
		}
		edited, err := config.SetZoneInService(data, zone.Name, false)
		if err != nil {
			return nil, nil, err
		}
		data, zone.InService = edited, false
		keptOut = append(keptOut, zone.Name)
	}
	return data, keptOut, nil
}

// isOutOfService reports whether the configuration has the zone and has it out of service.
func isOutOfService(cfg *config.Config, name model.Zone) bool {
	if cfg == nil {
		return false
	}
	zone := cfg.Zone(name)
	return zone != nil && !zone.InService
}

// currentConfig is the configuration in force. Version 0 means that there is none.
type currentConfig struct {
	version int64
	cfg     *config.Config
}

// fetchCurrentConfig gets the configuration in force from a daemon.
func fetchCurrentConfig(e *env) (currentConfig, error) {
	response, err := callAPI(e, func(ctx context.Context, client *api.Client) (*api.ConfigText, error) {
		return client.GetConfig(ctx)
	})
	var apiErr *api.ErrorStatusCode
	if errors.As(err, &apiErr) && apiErr.Response.Code == string(apierror.CodeNoConfiguration) {
		return currentConfig{}, nil
	}
	if err != nil {
		return currentConfig{}, err
	}
	cfg, _ := config.Parse("in force", []byte(response.Text))
	return currentConfig{version: response.Version, cfg: cfg}, nil
}

func writeChanges(w io.Writer, changes []config.Change) {
	for _, c := range changes {
		writeLine(w, "%s", c)
	}
	if len(changes) == 0 {
		writeLine(w, "no changes")
	}
}

// idOrNew returns id, or a new UUID if id is empty.
func idOrNew(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}
