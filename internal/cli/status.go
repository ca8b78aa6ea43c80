package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/daisyfold/daisyfold/internal/api"
)

type statusCommand struct{ env *env }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	status, err := callAPI(c.env, func(ctx context.Context, client *api.Client) (*api.Status, error) {
		return client.GetStatus(ctx)
	})
	if err != nil {
		return err
	}
	return c.env.print(status, func(w io.Writer) { writeStatus(w, status) })
}

func writeStatus(w io.Writer, s *api.Status) {
	writeLine(w, "host %s in %s, version %d%s%s", s.Host, s.Zone, s.ConfigVersion,
		textIf(s.Leaving, ", leaving"), textIf(!s.LogReachable, ", log unreachable"))
	_, _ = fmt.Fprintln(w)
	writeTable(w, zoneRows(s.Zones))
	for _, z := range s.Zones {
		if z.Zone == s.Zone {
			writeLine(w, "start evidence in %s: %s", z.Zone, z.Evidence)
		}
	}
	_, _ = fmt.Fprintln(w)
	writeTable(w, organisationRows(s.Organisations))
	_, _ = fmt.Fprintln(w)
	writeTable(w, hostRows(s.Hosts))
	for _, f := range s.Findings {
		writeLine(w, "finding: %s", f)
	}
}

// textIf returns s if condition holds, and "" otherwise.
func textIf(condition bool, s string) string {
	if condition {
		return s
	}
	return ""
}

func zoneRows(zones []api.ZoneStatus) [][]string {
	rows := [][]string{{"ZONE", "SERVICE", "WORKERS", "TARGETS", "FREE", "FRAGMENTED"}}
	for _, z := range zones {
		rows = append(rows, []string{
			truncate(z.Zone, 30), choose(z.InService, "in", "out"), strconv.Itoa(z.Workers), strconv.Itoa(z.Targets),
			fmt.Sprintf("%d/%d", z.AcceleratorsFree.Or(0), z.AcceleratorsTotal.Or(0)),
			fmt.Sprintf("%.0f %%", 100*z.Fragmentation.Or(0)),
		})
	}
	return rows
}

func organisationRows(organisations []api.OrganisationStatus) [][]string {
	rows := [][]string{{"ORGANISATION", "GUARANTEED", "USED", "WAITING", "RUNNING"}}
	for _, o := range organisations {
		rows = append(rows, []string{
			truncate(o.Organisation, 30), strconv.Itoa(o.GuaranteedAccelerators), strconv.Itoa(o.UsedAccelerators),
			strconv.Itoa(o.WaitingJobs), strconv.Itoa(o.RunningJobs),
		})
	}
	return rows
}

func hostRows(hosts []api.HostStatus) [][]string {
	rows := [][]string{{"HOST", "ZONE", "STATE"}}
	for _, h := range hosts {
		state := choose(h.Alive, "alive", "silent")
		rows = append(rows, []string{truncate(h.Host, 30), truncate(h.Zone, 30), choose(h.Leaving, "leaving", state)})
	}
	return rows
}

// choose returns yes if condition holds, and no otherwise.
func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
