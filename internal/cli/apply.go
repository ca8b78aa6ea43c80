package cli

import (
	"context"
	"errors"
	"io"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/google/uuid"
)

type applyCommand struct {
	env  *env
	ID   string `long:"id" value-name:"ID" description:"Id of the edit; a repetition with the same id changes nothing twice"`
	Base int64  `long:"base" value-name:"VERSION" default:"-1" default-mask:"the version in force" description:"Version that the text edits; another version in force refuses it"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// applyResult is the JSON output of apply.
type applyResult struct {
	ID      string          `json:"id"`
	Version int64           `json:"version"`
	Changes []config.Change `json:"changes"`
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
	result, err := c.publish(text, data)
	if err != nil {
		return err
	}
	return c.env.print(result, func(w io.Writer) {
		writeChanges(w, result.Changes)
		line(w, "version %d is accepted", result.Version)
	})
}

func (c *applyCommand) publish(text *config.Text, data []byte) (*applyResult, error) {
	current, err := currentText(c.env)
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
	return &applyResult{ID: edit.ID, Version: accepted.Version, Changes: config.Diff(current.text, text)}, nil
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
	if errors.As(err, &refused) && refused.Response.Code == string(apierror.CodeNoConfig) {
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
