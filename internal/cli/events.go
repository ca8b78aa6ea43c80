package cli

import (
	"context"
	"io"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
)

type eventsCommand struct {
	env   *env
	Since time.Duration `long:"since" value-name:"DURATION" description:"Show only events that are at most this old, for example 10m"`
}

// Execute implements flags.Commander.
func (c *eventsCommand) Execute([]string) error {
	params := api.ListEventsParams{}
	if c.Since > 0 {
		params.SinceUnixMS = api.NewOptInt64(time.Now().Add(-c.Since).UnixMilli())
	}
	events, err := callAPI(c.env, func(ctx context.Context, client *api.Client) (*api.EventList, error) {
		return client.ListEvents(ctx, params)
	})
	if err != nil {
		return err
	}
	return c.env.print(events, func(w io.Writer) {
		for _, e := range events.Events {
			writeLine(w, "%s %s: %s", formatUnixMS(e.UnixMS), e.Part, e.Message)
		}
	})
}
