package cli

import (
	"context"
	"io"

	"github.com/daisyfold/daisyfold/internal/api"
)

type explainCommand struct {
	env *env
	jobOptions
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	explanation, err := call(c.env, func(ctx context.Context, client *api.Client) (*api.Explanation, error) {
		return client.ExplainJob(ctx, api.ExplainJobParams{ID: c.Args.ID, Organisation: c.organisation()})
	})
	if err != nil {
		return err
	}
	return c.env.print(explanation, func(w io.Writer) {
		writeJob(w, &explanation.Job)
		for _, r := range explanation.Reasons {
			line(w, "%s %s: %s", unixTime(r.UnixMS), r.Code, r.Detail)
		}
	})
}
