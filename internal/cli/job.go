package cli

import (
	"context"
	"io"
	"strings"

	"github.com/daisyfold/daisyfold/internal/api"
)

func jobVerbs(e *env) []verb {
	return []verb{
		{name: "submit", short: "Submit a job", command: &submitCommand{env: e},
			long: "Submits a gang of tasks. It runs all or nothing."},
		{name: "show", short: "Show a job", command: &showCommand{env: e}, long: "Shows a job."},
		{name: "list", short: "List jobs", command: &listCommand{env: e},
			long: "Lists the organisation's jobs, or those of all organisations for an operator."},
		{name: "wait", short: "Wait for the end of a job", command: &waitCommand{env: e},
			long: "Waits until a job is final. Exits with 1 if it failed or was cancelled, and with 3 if it is not final in time."},
		{name: "cancel", short: "Cancel a job", command: &cancelCommand{env: e}, long: "Cancels a job."},
		{name: "explain", short: "Show why a job is where it is", command: &explainCommand{env: e},
			long: "Shows the reasons of the planner's last decisions on a job."},
		{name: "trace", short: "Show what logs say of a job", command: &traceCommand{env: e},
			long: "Shows, in time order, the lines of daemons' logs that name a job or one of its runs, and those that may explain its waits: takeovers, stores lost and changes of readiness. It asks no daemon."},
	}
}

// jobOptions name one job.
type jobOptions struct {
	Organisation string `long:"organisation" value-name:"NAME" description:"For operators: the organisation of the job"`
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
	line(w, "job %s of %s: %s", j.ID, j.Organisation, j.State)
	line(w, "  service %s, %d tasks of %d accelerators, attempt %d", j.Service, j.Tasks, j.Accelerators, j.Attempt)
	line(w, "  accepted %s%s", unixTime(j.AcceptedUnixMS), endText(j))
	if zone, ok := j.Zone.Get(); ok {
		line(w, "  zone %s", zone)
	}
	if len(j.Workers) > 0 {
		line(w, "  workers %s", strings.Join(j.Workers, ", "))
	}
	if reason, ok := j.Reason.Get(); ok {
		line(w, "  reason: %s", reason)
	}
	if result, ok := j.Result.Get(); ok {
		line(w, "  result: %s", result)
	}
}

func endText(j *api.Job) string {
	if end, ok := j.EndUnixMS.Get(); ok {
		return ", ended " + unixTime(end)
	}
	return ""
}

type showCommand struct {
	env *env
	jobOptions
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	job, err := call(c.env, func(ctx context.Context, client *api.Client) (*api.Job, error) {
		return client.ShowJob(ctx, api.ShowJobParams{ID: c.Args.ID, Organisation: c.organisation()})
	})
	if err != nil {
		return err
	}
	return c.env.printJob(job)
}
