package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/daisyfold/daisyfold/internal/api"
)

type listCommand struct {
	env   *env
	State string `long:"state" choice:"waiting" choice:"starting" choice:"running" choice:"finished" choice:"failed" choice:"cancelled" description:"Only jobs in this state"`
	Limit int    `long:"limit" value-name:"N" default:"1000" description:"Jobs to list, at most 10000"`
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	if c.Limit < 1 || c.Limit > 10_000 {
		return badInput("--limit must be 1 to 10000")
	}
	params := api.ListJobsParams{Limit: api.NewOptInt(c.Limit)}
	if c.State != "" {
		params.State = api.NewOptString(c.State)
	}
	list, err := call(c.env, func(ctx context.Context, client *api.Client) (*api.JobList, error) {
		return client.ListJobs(ctx, params)
	})
	if err != nil {
		return err
	}
	return c.env.print(list, func(w io.Writer) { table(w, jobRows(list.Jobs)) })
}

func jobRows(jobs []api.Job) [][]string {
	rows := [][]string{{"ID", "STATE", "GANG", "ZONE", "ORGANISATION"}}
	for i := range jobs {
		j := &jobs[i]
		gang := fmt.Sprintf("%dx%d", j.Tasks, j.Accelerators)
		rows = append(rows, []string{cut(j.ID, 36), string(j.State), gang, cut(j.Zone.Or("-"), 9), cut(j.Organisation, 12)})
	}
	return rows
}
