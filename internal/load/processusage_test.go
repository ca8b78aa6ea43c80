package load

import "testing"

// TestParseStat guards against fields that are counted wrongly if the program name contains
// spaces or parentheses.
func TestParseStat(t *testing.T) {
	text := "42 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 30 12 13 14 15 16 17 18 19 20 2 22\n"
	got, err := parseStat(text)
	if err != nil || got.cpuTicks != 42 || got.rssKB < 8 {
		t.Fatalf("got %+v, %v", got, err)
	}
	if _, err := parseStat("42 (a) S 1 2"); err == nil {
		t.Fatal("a short line was accepted")
	}
}

// TestParseIO guards against counting the bytes of disk reads instead of those of calls, and
// against counting only one direction.
func TestParseIO(t *testing.T) {
	got, err := parseIO("rchar: 100\nwchar: 20\nsyscr: 7\nread_bytes: 4096\n")
	if err != nil || got != 120 {
		t.Fatalf("got %d, %v", got, err)
	}
	if _, err := parseIO("rchar: 100\n"); err == nil {
		t.Fatal("a missing direction was accepted")
	}
}

// TestFootprintBudget guards against a footprint that exceeds the budget and passes.
func TestFootprintBudget(t *testing.T) {
	good := footprintResult{rssMB: 32, corePercent: 4.5, controlKBs: 20}
	if !good.withinBudget() {
		t.Fatal("a result equal to the budget was rejected")
	}
	for _, bad := range []footprintResult{
		{rssMB: 32.1, corePercent: 1, controlKBs: 1},
		{rssMB: 1, corePercent: 4.6, controlKBs: 1},
		{rssMB: 1, corePercent: 1, controlKBs: 20.1},
	} {
		if bad.withinBudget() {
			t.Fatalf("%v was accepted", bad)
		}
	}
}

// TestFootprintDaemonPlansItsShard guards against measuring a daemon that does not plan its
// shard and therefore has no links to workers.
func TestFootprintDaemonPlansItsShard(t *testing.T) {
	hosts := footprintHosts(FootprintSize{Zones: 13, HostsPerZone: 8})
	seen := map[string]bool{}
	for _, h := range hosts {
		seen[string(h.ID)] = true
	}
	if len(seen) != 104 || hosts[0].Zone != zoneName(0) {
		t.Fatalf("%d hosts, the first in %s", len(seen), hosts[0].Zone)
	}
}
