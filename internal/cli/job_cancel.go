package cli

import (
	"context"

	"github.com/daisyfold/daisyfold/internal/api"
)

type cancelCommand struct {
	env *env
	jobOptions
}

// Execute implements flags.Commander.
func (c *cancelCommand) Execute([]string) error {
	job, err := callAPI(c.env, func(ctx context.Context, client *api.Client) (*api.Job, error) {
		return client.CancelJob(ctx, api.CancelJobParams{ID: c.Args.ID, Organisation: c.organisation()})
	})
	if err != nil {
		return withRequestID(err, c.Args.ID)
	}
	return c.env.printJob(job)
}
