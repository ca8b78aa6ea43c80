package statetest

import (
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/evidence"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
)

// TestDecide guards each condition of start evidence on its own: the age limits, the
// strict majority of configured zones, a host that still reads the log, reports in
// requests, whose delay is unknown, newer versions and pending changes.
func TestDecide(t *testing.T) {
	now := time.Now()
	ago := func(seconds float64) time.Time { return now.Add(-time.Duration(seconds * float64(time.Second))) }
	parsed, _ := parse(configText("x"))
	logUnreachable := func(z model.Zone, ageSeconds float64) membership.Report {
		return membership.Report{Host: model.HostID(z), Zone: z, ReportedAt: ago(ageSeconds)}
	}
	logReachable, logRead, fromRequest := logUnreachable("vannes", 0.1), logUnreachable("vannes", 0.1), logUnreachable("vannes", 0.1)
	logReachable.LogReachable = true
	logRead.LogReadAt = ago(1.9)
	fromRequest.FromRequest, fromRequest.LogReadAt = true, ago(0.1)
	reports := func(r ...membership.Report) func(*evidence.Input) {
		return func(in *evidence.Input) { in.Reports = r }
	}
	cases := []struct {
		name   string
		change func(*evidence.Input)
		want   evidence.Source
	}{
		{"own read of the log is recent", func(in *evidence.Input) { in.Log.LastHeadRead = ago(2) }, evidence.SourceLog},
		{"own read of the log is too old", func(in *evidence.Input) { in.Log.LastHeadRead = ago(2.1) }, evidence.SourceNone},
		{"own read of a reachable log is too old", func(in *evidence.Input) {
			in.Log = journal.State{Reachable: true, LastHeadRead: ago(2.1)}
			in.Reports = []membership.Report{logUnreachable("quimper", 0), logUnreachable("rennes", 0)}
		}, evidence.SourceNone},
		{"peer read the log", reports(logRead), evidence.SourcePeer},
		{"read of the log in a peer's request", reports(fromRequest), evidence.SourceNone},
		{"two of four zones cannot reach the log", reports(logUnreachable("quimper", 1)), evidence.SourceNone},
		{"three of four zones cannot reach the log", reports(logUnreachable("quimper", 1), logUnreachable("rennes", 2)), evidence.SourceOutage},
		{"report of the third zone is too old", reports(logUnreachable("quimper", 1), logUnreachable("rennes", 2.1)), evidence.SourceNone},
		{"report of a zone that is not configured", reports(logUnreachable("quimper", 1), logUnreachable("nuwara", 1)), evidence.SourceNone},
		{"one host still reads the log", reports(logUnreachable("quimper", 1), logUnreachable("rennes", 1), logReachable), evidence.SourceNone},
		{"newer version is known", func(in *evidence.Input) { in.Log.LastHeadRead, in.KnownVersion = now, 8 }, evidence.SourceNone},
		{"zone-out is pending", func(in *evidence.Input) { in.Log.LastHeadRead, in.PendingOutOfService = now, true }, evidence.SourceNone},
		{"no configuration", func(in *evidence.Input) { in.Log.LastHeadRead, in.Config = now, nil }, evidence.SourceNone},
		{"own zone is not configured", func(in *evidence.Input) { in.Log.LastHeadRead, in.Zone = now, "nuwara" }, evidence.SourceNone},
	}
	for _, c := range cases {
		in := evidence.Input{
			Now: now, Zone: "brest", KnownVersion: 7, Config: &blackboard.Configuration{Version: 7, Parsed: parsed},
		}
		c.change(&in)
		if decision := evidence.Decide(in); decision.Source != c.want || decision.Allowed != (c.want != evidence.SourceNone) || decision.Reason == "" {
			t.Errorf("%s: %+v, want source %q", c.name, decision, c.want)
		}
	}
}
