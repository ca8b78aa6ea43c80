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

// Guards each condition of D4 by itself: the age limits, the strict majority of
// configured zones, one host that reads the log, requests whose delay is unknown,
// newer versions and pending changes.
func TestDecide(t *testing.T) {
	now := time.Now()
	ago := func(s float64) time.Time { return now.Add(-time.Duration(s * float64(time.Second))) }
	text, _ := parse(textOf("x"))
	down := func(z model.Zone, age float64) membership.Report {
		return membership.Report{Host: model.HostID(z), Zone: z, ReportedAt: ago(age)}
	}
	up, reading, called := down("vannes", 0.1), down("vannes", 0.1), down("vannes", 0.1)
	up.LogReachable = true
	reading.LogReadAt = ago(1.9)
	called.FromRequest, called.LogReadAt = true, ago(0.1)
	reports := func(r ...membership.Report) func(*evidence.Input) {
		return func(in *evidence.Input) { in.Reports = r }
	}
	cases := []struct {
		name   string
		change func(*evidence.Input)
		want   evidence.Source
	}{
		{"fresh own reading", func(in *evidence.Input) { in.Log.LastHeadRead = ago(2) }, evidence.SourceLog},
		{"old own reading", func(in *evidence.Input) { in.Log.LastHeadRead = ago(2.1) }, evidence.SourceNone},
		{"old own reading of a reachable log", func(in *evidence.Input) {
			in.Log = journal.State{Reachable: true, LastHeadRead: ago(2.1)}
			in.Reports = []membership.Report{down("quimper", 0), down("rennes", 0)}
		}, evidence.SourceNone},
		{"reading of a peer", reports(reading), evidence.SourcePeer},
		{"reading in a peer's request", reports(called), evidence.SourceNone},
		{"two of four zones without log", reports(down("quimper", 1)), evidence.SourceNone},
		{"three of four zones without log", reports(down("quimper", 1), down("rennes", 2)), evidence.SourceOutage},
		{"third zone heard too long ago", reports(down("quimper", 1), down("rennes", 2.1)), evidence.SourceNone},
		{"zone that is not configured", reports(down("quimper", 1), down("nuwara", 1)), evidence.SourceNone},
		{"one host reads the log", reports(down("quimper", 1), down("rennes", 1), up), evidence.SourceNone},
		{"newer version known", func(in *evidence.Input) { in.Log.LastHeadRead, in.KnownVersion = now, 8 }, evidence.SourceNone},
		{"pending zone-out", func(in *evidence.Input) { in.Log.LastHeadRead, in.PendingOutOfService = now, true }, evidence.SourceNone},
		{"no configuration", func(in *evidence.Input) { in.Log.LastHeadRead, in.Config = now, nil }, evidence.SourceNone},
		{"foreign zone", func(in *evidence.Input) { in.Log.LastHeadRead, in.Zone = now, "nuwara" }, evidence.SourceNone},
	}
	for _, c := range cases {
		in := evidence.Input{
			Now: now, Zone: "brest", KnownVersion: 7, Config: &blackboard.Configuration{Version: 7, Parsed: text},
		}
		c.change(&in)
		if v := evidence.Decide(in); v.Source != c.want || v.Allowed != (c.want != evidence.SourceNone) || v.Reason == "" {
			t.Errorf("%s: %+v, want source %q", c.name, v, c.want)
		}
	}
}
