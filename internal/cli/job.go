package cli

import (
	"context"
	"io"
	"strings"

	"github.com/daisyfold/daisyfold/internal/api"
)

func jobCommands(e *env) []commandSpec {
	return []commandSpec{
		{name: "submit", short: "Submit a job", command: &submitCommand{env: e},
			long: "Submits a gang of tasks. The tasks run all together or not at all."},
		{name: "show", short: "Show a job", command: &showCommand{env: e}, long: "Shows a job."},
		{name: "list", short: "List jobs", command: &listCommand{env: e},
			long: "Lists the organisation's jobs, or those of all organisations for an operator."},
		{name: "wait", short: "Wait until a job ends", command: &waitCommand{env: e},
			long: "Waits until a job is in a final state. Exits with 1 if it failed or was cancelled, and with 3 if it does not end in time."},
		{name: "cancel", short: "Cancel a job", command: &cancelCommand{env: e}, long: "Cancels a job."},
		{name: "explain", short: "Show the planner's decisions on a job", command: &explainCommand{env: e},
			long: "Shows the last decisions of the planner on a job and their reasons."},
		{name: "trace", short: "Show the log lines about a job", command: &traceCommand{env: e},
			long: "Shows, in chronological order, the lines of daemons' log files that name a job or one of its runs, and those that may explain why it waited: takeovers, lost stores and changes of readiness. It does not contact a daemon."},
	}
}

// jobOptions are the options of the commands that apply to one job.
type jobOptions struct {
	Organisation string `long:"organisation" value-name:"NAME" description:"Organisation of the job, for operators"`
	Args         struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

func (o *jobOptions) organisation() api.OptString {
	if o.Organisation == "" {
		return api.OptString{}
	}
	return api.NewOptString(o.Organisation)
}

func (e *env) printJob(job *api.Job) error {
	return e.print(job, func(w io.Writer) { writeJob(w, job) })
}

func writeJob(w io.Writer, j *api.Job) {
	writeLine(w, "job %s of %s: %s", j.ID, j.Organisation, j.State)
	writeLine(w, "  service %s, %d tasks of %d accelerators, attempt %d", j.Service, j.Tasks, j.Accelerators, j.Attempt)
	writeLine(w, "  accepted %s%s", formatUnixMS(j.AcceptedUnixMS), endTimeText(j))
	if zone, ok := j.Zone.Get(); ok {
		writeLine(w, "  zone %s", zone)
	}
	if len(j.Workers) > 0 {
		writeLine(w, "  workers %s", strings.Join(j.Workers, ", "))
	}
	if reason, ok := j.Reason.Get(); ok {
		writeLine(w, "  reason: %s", reason)
	}
	if result, ok := j.Result.Get(); ok {
		writeLine(w, "  result: %s", result)
	}
}

// endTimeText returns the end time of a job for printing, or "" if the job has not ended.
func endTimeText(j *api.Job) string {
	if end, ok := j.EndUnixMS.Get(); ok {
		return ", ended " + formatUnixMS(end)
	}
	return ""
}

type showCommand struct {
	env *env
	jobOptions
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	job, err := callAPI(c.env, func(ctx context.Context, client *api.Client) (*api.Job, error) {
		return client.ShowJob(ctx, api.ShowJobParams{ID: c.Args.ID, Organisation: c.organisation()})
	})
	if err != nil {
		return err
	}
	return c.env.printJob(job)
}
