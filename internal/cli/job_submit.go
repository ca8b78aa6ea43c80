package cli

import (
	"context"
	"io"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
)

type submitCommand struct {
	env             *env
	ID              string        `long:"id" value-name:"ID" description:"Id of the job; repeating the command with the same id submits the job only once"`
	Service         string        `long:"service" value-name:"NAME" required:"yes" description:"Service that the job belongs to"`
	Tasks           int           `long:"tasks" value-name:"N" default:"1" description:"Number of tasks in the gang"`
	Accelerators    int           `long:"accelerators" value-name:"N" description:"Accelerators per task"`
	CPUs            int           `long:"cpus" value-name:"N" default:"1" description:"CPUs per task"`
	MemoryMB        int           `long:"memory-mb" value-name:"N" description:"Memory per task in MB"`
	Within          string        `long:"within" choice:"worker" choice:"rack" choice:"zone" default:"zone" description:"Unit of the hardware that must contain the whole gang"`
	Zone            string        `long:"zone" value-name:"NAME" description:"Run only in this availability zone"`
	DeclaredRunTime time.Duration `long:"declared" value-name:"DURATION" description:"Expected run time, for example 2h"`
	Deadline        string        `long:"deadline" value-name:"TIME" description:"Time by which the job should end, for example 2026-12-24T18:00:00Z"`
	NonRepeatable   bool          `long:"non-repeatable" description:"Never start the job again once it may have started"`
	Payload         string        `long:"payload" value-name:"TEXT" description:"Payload, passed to the tasks unchanged"`
	PayloadFile     string        `long:"payload-file" value-name:"FILE" description:"File with the payload, - for standard input"`
	Wait            bool          `long:"wait" description:"Wait until the job ends, as job wait does"`
}

// Execute implements flags.Commander.
func (c *submitCommand) Execute([]string) error {
	request, err := c.request()
	if err != nil {
		return err
	}
	accepted, err := callAPI(c.env, func(ctx context.Context, client *api.Client) (*api.JobAccepted, error) {
		return client.SubmitJob(ctx, request)
	})
	if err != nil {
		return withRequestID(err, request.ID.Value)
	}
	if c.Wait {
		wait := &waitCommand{env: c.env}
		wait.Args.ID = accepted.ID
		return wait.Execute(nil)
	}
	return c.env.print(accepted, func(w io.Writer) {
		writeLine(w, "job %s is accepted (durability %s), state %s", accepted.ID, accepted.Durability, accepted.State)
	})
}

func (c *submitCommand) request() (*api.JobRequest, error) {
	payload, err := c.payload()
	if err != nil {
		return nil, err
	}
	request := &api.JobRequest{
		ID:            api.NewOptString(idOrNew(c.ID)),
		Service:       c.Service,
		Tasks:         c.Tasks,
		Accelerators:  api.NewOptInt(c.Accelerators),
		Cpus:          api.NewOptInt(c.CPUs),
		MemoryMB:      api.NewOptInt(c.MemoryMB),
		Within:        api.NewOptLevel(api.Level(c.Within)),
		NonRepeatable: api.NewOptBool(c.NonRepeatable),
	}
	if c.Zone != "" {
		request.Zone = api.NewOptString(c.Zone)
	}
	if c.DeclaredRunTime > 0 {
		request.DeclaredSeconds = api.NewOptFloat64(c.DeclaredRunTime.Seconds())
	}
	if payload != "" {
		request.Payload = api.NewOptString(payload)
	}
	if err := c.setDeadline(request); err != nil {
		return nil, err
	}
	if err := request.Validate(); err != nil {
		return nil, badInputError("%v", err)
	}
	return request, nil
}

func (c *submitCommand) setDeadline(request *api.JobRequest) error {
	if c.Deadline == "" {
		return nil
	}
	deadline, err := time.Parse(time.RFC3339, c.Deadline)
	if err != nil {
		return badInputError("--deadline %q is not a time such as 2026-12-24T18:00:00Z", c.Deadline)
	}
	request.DeadlineUnixMS = api.NewOptInt64(deadline.UnixMilli())
	return nil
}

func (c *submitCommand) payload() (string, error) {
	if c.PayloadFile == "" {
		return c.Payload, nil
	}
	if c.Payload != "" {
		return "", badInputError("--payload and --payload-file are mutually exclusive")
	}
	data, err := c.env.readInput(c.PayloadFile)
	return string(data), err
}
