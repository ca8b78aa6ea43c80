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
	explanation, err := callAPI(c.env, func(ctx context.Context, client *api.Client) (*api.Explanation, error) {
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

// writeReasons writes one line for each reason, in the order given, oldest first.
func writeReasons(w io.Writer, reasons []api.Reason) {
	if len(reasons) == 0 {
		writeLine(w, "the planner's host has recorded no decision on this job")
		return
	}
	writeLine(w, "decisions of the planner, oldest first:")
	for _, r := range reasons {
		text := strings.ReplaceAll(r.Code, "_", " ")
		if r.Detail != "" {
			text += ": " + r.Detail
		}
		writeLine(w, "  %s %s", formatUnixMS(r.UnixMS), text)
	}
}
