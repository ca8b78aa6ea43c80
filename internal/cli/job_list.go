package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/daisyfold/daisyfold/internal/api"
)

type listCommand struct {
	env   *env
	State string `long:"state" choice:"waiting" choice:"starting" choice:"running" choice:"finished" choice:"failed" choice:"cancelled" description:"List only jobs in this state"`
	Limit int    `long:"limit" value-name:"N" default:"1000" description:"Maximum number of jobs to list, up to 10000"`
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	if c.Limit < 1 || c.Limit > 10_000 {
		return badInputError("--limit must be between 1 and 10000")
	}
	params := api.ListJobsParams{Limit: api.NewOptInt(c.Limit)}
	if c.State != "" {
		params.State = api.NewOptString(c.State)
	}
	list, err := callAPI(c.env, func(ctx context.Context, client *api.Client) (*api.JobList, error) {
		return client.ListJobs(ctx, params)
	})
	if err != nil {
		return err
	}
	return c.env.print(list, func(w io.Writer) { writeTable(w, jobRows(list.Jobs)) })
}

func jobRows(jobs []api.Job) [][]string {
	rows := [][]string{{"ID", "STATE", "GANG", "ZONE", "ORGANISATION"}}
	for i := range jobs {
		j := &jobs[i]
		gang := fmt.Sprintf("%dx%d", j.Tasks, j.Accelerators)
		rows = append(rows, []string{truncate(j.ID, 36), string(j.State), gang, truncate(j.Zone.Or("-"), 9), truncate(j.Organisation, 12)})
	}
	return rows
}
