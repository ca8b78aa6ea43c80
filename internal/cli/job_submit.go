package cli

import (
	"context"
	"io"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
)

type submitCommand struct {
	env           *env
	ID            string        `long:"id" value-name:"ID" description:"Id of the job; a repetition with the same id submits nothing twice"`
	Service       string        `long:"service" value-name:"NAME" required:"yes" description:"Service that the job is for"`
	Tasks         int           `long:"tasks" value-name:"N" default:"1" description:"Tasks of the gang"`
	Accelerators  int           `long:"accelerators" value-name:"N" description:"Accelerators of each task"`
	CPUs          int           `long:"cpus" value-name:"N" default:"1" description:"CPUs of each task"`
	MemoryMB      int           `long:"memory-mb" value-name:"N" description:"Memory of each task in MB"`
	Within        string        `long:"within" choice:"worker" choice:"rack" choice:"zone" default:"zone" description:"What must hold the whole gang"`
	Zone          string        `long:"zone" value-name:"NAME" description:"Only in this availability zone"`
	Declared      time.Duration `long:"declared" value-name:"DURATION" description:"Expected run time, for example 2h"`
	Deadline      string        `long:"deadline" value-name:"TIME" description:"Latest useful end, for example 2026-12-24T18:00:00Z"`
	NonRepeatable bool          `long:"non-repeatable" description:"Never start the job again after a start"`
	Payload       string        `long:"payload" value-name:"TEXT" description:"Passed to the tasks as it is"`
	PayloadFile   string        `long:"payload-file" value-name:"FILE" description:"File with the payload, - for the standard input"`
	Wait          bool          `long:"wait" description:"Wait for the end of the job, as job wait does"`
}

// Execute implements flags.Commander.
func (c *submitCommand) Execute([]string) error {
	request, err := c.request()
	if err != nil {
		return err
	}
	accepted, err := call(c.env, func(ctx context.Context, client *api.Client) (*api.JobAccepted, error) {
		return client.SubmitJob(ctx, request)
	})
	if err != nil {
		return withID(err, request.ID.Value)
	}
	if c.Wait {
		wait := &waitCommand{env: c.env}
		wait.Args.ID = accepted.ID
		return wait.Execute(nil)
	}
	return c.env.print(accepted, func(w io.Writer) {
		line(w, "job %s is accepted (durability %s), state %s", accepted.ID, accepted.Durability, accepted.State)
	})
}

func (c *submitCommand) request() (*api.JobRequest, error) {
	payload, err := c.payload()
	if err != nil {
		return nil, err
	}
	request := &api.JobRequest{
		ID:            api.NewOptString(orNewID(c.ID)),
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
	if c.Declared > 0 {
		request.DeclaredSeconds = api.NewOptFloat64(c.Declared.Seconds())
	}
	if payload != "" {
		request.Payload = api.NewOptString(payload)
	}
	if err := c.addDeadline(request); err != nil {
		return nil, err
	}
	if err := request.Validate(); err != nil {
		return nil, badInput("%v", err)
	}
	return request, nil
}

func (c *submitCommand) addDeadline(request *api.JobRequest) error {
	if c.Deadline == "" {
		return nil
	}
	deadline, err := time.Parse(time.RFC3339, c.Deadline)
	if err != nil {
		return badInput("--deadline %q is not a time such as 2026-12-24T18:00:00Z", c.Deadline)
	}
	request.DeadlineUnixMS = api.NewOptInt64(deadline.UnixMilli())
	return nil
}

func (c *submitCommand) payload() (string, error) {
	if c.PayloadFile == "" {
		return c.Payload, nil
	}
	if c.Payload != "" {
		return "", badInput("--payload and --payload-file exclude each other")
	}
	data, err := c.env.readInput(c.PayloadFile)
	return string(data), err
}
