package cli

import (
	"context"
	"io"
	"strings"

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
		writeReasons(w, explanation.Reasons)
	})
}

// writeReasons writes one line for each reason, oldest first.
func writeReasons(w io.Writer, reasons []api.Reason) {
	if len(reasons) == 0 {
		line(w, "the planner's host has noted no decision on it")
		return
	}
	line(w, "decisions of the planner, oldest first:")
	for _, r := range reasons {
		text := strings.ReplaceAll(r.Code, "_", " ")
		if r.Detail != "" {
			text += ": " + r.Detail
		}
		line(w, "  %s %s", unixTime(r.UnixMS), text)
	}
}
