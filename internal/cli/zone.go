package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/daisyfold/daisyfold/internal/api"
)

type zoneCommand struct {
	env       *env
	inService bool
	ID        string `long:"id" value-name:"ID" description:"Id of the change; repeating the command with the same id applies the change only once"`
	Args      struct {
		Zone string `positional-arg-name:"ZONE" required:"yes"`
	} `positional-args:"yes"`
}

func zoneCommands(e *env) []commandSpec {
	return []commandSpec{
		{name: "out", short: "Take a zone out", command: &zoneCommand{env: e},
			long: "Takes an availability zone out of service. After a few seconds, no more tasks start there."},
		{name: "in", short: "Take a zone back in", command: &zoneCommand{env: e, inService: true},
			long: "Takes an availability zone back into service."},
	}
}

// zoneResult is the JSON output of zone.
type zoneResult struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Version int64  `json:"version"`
}

// Execute implements flags.Commander.
func (c *zoneCommand) Execute([]string) error {
	change := &api.ZoneChange{ID: idOrNew(c.ID), InService: c.inService}
	response, err := callAPI(c.env, func(ctx context.Context, client *api.Client) (*api.ZoneChanged, error) {
		return client.SetZone(ctx, change, api.SetZoneParams{Zone: c.Args.Zone})
	})
	if err != nil {
		return withRequestID(err, change.ID)
	}
	result := zoneResult{ID: change.ID, State: string(response.State), Version: response.Version}
	return c.env.print(result, func(w io.Writer) {
		version := ""
		if result.Version > 0 { // a pending change has no version yet
			version = fmt.Sprintf(", version %d", result.Version)
		}
		writeLine(w, "zone %s: the change is %s%s", c.Args.Zone, result.State, version)
	})
}
