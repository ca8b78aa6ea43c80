package statetest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/logservice/logtest"
)

var (
	seedFlag   = flag.Uint64("seed", 1, "first seed")
	roundsFlag = flag.Int("rounds", 16, "number of seeds for each random test")
)

// maxStartAfterZoneOut is how long after the answer to a zone-out, a change that takes a
// zone out of service, tasks may still start in the zone.
const maxStartAfterZoneOut = 3 * time.Second

// zoneOutFaults are the faults to inject around a zone-out. Each gets the zone that is
// taken out of service and another zone.
var zoneOutFaults = []struct {
	name  string
	apply func(c *cluster, out, other model.Zone)
}{
	{"none", func(*cluster, model.Zone, model.Zone) {}},
	{"zone cut off from the log", func(c *cluster, out, _ model.Zone) { c.disconnectLog(out) }},
	{"zone cut off from the log and peers", func(c *cluster, out, _ model.Zone) { c.disconnectLog(out); c.isolateZone(out) }},
	{"zone cut off from peers", func(c *cluster, out, _ model.Zone) { c.isolateZone(out) }},
	{"one-way cut from the zone", func(c *cluster, out, other model.Zone) { c.blockOneWay(out, other) }},
	{"one-way cut to the zone", func(c *cluster, out, other model.Zone) { c.blockOneWay(other, out); c.disconnectLog(out) }},
	{"log down", func(c *cluster, _, _ model.Zone) { c.log.SetFaults(func(f *logtest.Faults) { f.Down = true }) }},
	{"log silent", func(c *cluster, _, _ model.Zone) { c.log.SetFaults(func(f *logtest.Faults) { f.Unresponsive = true }) }},
	{"only the zone reads the log", func(c *cluster, out, _ model.Zone) {
		for _, z := range zoneNames {
			if z != out {
				c.disconnectLog(z)
			}
		}
	}},
	{"only another zone reads the log", func(c *cluster, _, other model.Zone) {
		for _, z := range zoneNames {
			if z != other {
				c.disconnectLog(z)
			}
		}
	}},
	{"another zone cut off from peers", func(c *cluster, _, other model.Zone) { c.isolateZone(other) }},
	{"slow log", func(c *cluster, _, _ model.Zone) {
		c.log.SetFaults(func(f *logtest.Faults) { f.Latency = 900 * time.Millisecond })
	}},
	{"very slow log", func(c *cluster, _, _ model.Zone) {
		c.log.SetFaults(func(f *logtest.Faults) { f.Latency = 2500 * time.Millisecond })
	}},
	{"a host of the zone restarts empty", func(c *cluster, out, _ model.Zone) { c.restart(model.HostID(out + "-1")) }},
	{"another host restarts empty", func(c *cluster, _, other model.Zone) { c.restart(model.HostID(other + "-0")) }},
	{"a host of the zone dies", func(c *cluster, out, _ model.Zone) { c.kill(model.HostID(out + "-0")) }},
}

// directedFaultPairs are pairs of faults that random choice rarely makes. Each covers
// one condition of the answer to a zone-out. The operator is in the other zone. In the
// first pair, three zones without the log may start tasks because a majority of zones
// reports an outage, while the operator's zone, cut off from them, appends the change
// to the log. In the second pair, only the zone reads the log, while the others hold
// the change as pending.
var directedFaultPairs = [][2]string{
	{"only another zone reads the log", "another zone cut off from peers"},
	{"only the zone reads the log", "zone cut off from peers"},
	{"log down", "none"},
	{"log silent", "a host of the zone dies"},
	{"log down", "zone cut off from the log and peers"},
}

// faultIndex returns the index of the named fault in zoneOutFaults.
func faultIndex(name string) int {
	for i, f := range zoneOutFaults {
		if f.name == name {
			return i
		}
	}
	panic(name)
}

// isolateZone drops all messages between hosts of the zone and those of other zones.
func (c *cluster) isolateZone(z model.Zone) {
	for _, other := range zoneNames {
		if other != z {
			c.blockOneWay(z, other)
			c.blockOneWay(other, z)
		}
	}
}

// TestNoStartAfterZoneOut guards against task starts in a zone that was taken out of
// service: 3 s after the answer that the zone-out is accepted or pending, no host of
// the zone may have start evidence. It also guards against the later acceptance of a
// zone-out that was answered with not_run. Each run combines two faults of the network,
// the log or a host, which end after a random time.
func TestNoStartAfterZoneOut(t *testing.T) {
	outcomes := make(map[string]int)
	var longestDelay time.Duration
	run := func(seed uint64, plan zoneOutPlan) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				outcome, startDelay := runZoneOut(t, seed, plan)
				outcomes[outcome]++
				longestDelay = max(longestDelay, startDelay)
			})
		})
	}
	for i, d := range directedFaultPairs {
		run(uint64(i), zoneOutPlan{out: "rennes", other: "brest", first: faultIndex(d[0]), second: faultIndex(d[1]), operator: "brest-0", endFaultsAfter: 8 * time.Second})
	}
	for i := range *roundsFlag {
		seed := *seedFlag + uint64(i)
		run(seed, randomZoneOutPlan(rand.New(rand.NewPCG(seed, 5))))
	}
	t.Logf("seeds %d to %d: answers %v, last start evidence at most %v after the answer",
		*seedFlag, *seedFlag+uint64(*roundsFlag)-1, outcomes, longestDelay)
	if outcomes["accepted"] == 0 || outcomes["pending"] == 0 {
		t.Errorf("not all answers occurred: %v", outcomes)
	}
}

// zoneOutPlan describes one zone-out with two faults, which are indices into
// zoneOutFaults.
type zoneOutPlan struct {
	out, other     model.Zone
	first, second  int
	operator       model.HostID
	endFaultsAfter time.Duration // time from the answer to the end of the faults
}

func randomZoneOutPlan(rng *rand.Rand) zoneOutPlan {
	perm := rng.Perm(len(zoneNames))
	return zoneOutPlan{
		out: zoneNames[perm[0]], other: zoneNames[perm[1]],
		first: rng.IntN(len(zoneOutFaults)), second: rng.IntN(len(zoneOutFaults)),
		operator:       model.HostID(fmt.Sprintf("%s-%d", zoneNames[rng.IntN(len(zoneNames))], rng.IntN(2))),
		endFaultsAfter: time.Duration(rng.IntN(12000)) * time.Millisecond,
	}
}

func runZoneOut(t *testing.T, seed uint64, plan zoneOutPlan) (outcome string, startDelay time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 3))
	c := newCluster(t, seed, 2+int(seed%2))
	defer c.close()
	c.publishFirstVersion()
	out, other := plan.out, plan.other
	first, second := zoneOutFaults[plan.first], zoneOutFaults[plan.second]
	description := fmt.Sprintf("seed %d: %s out by %s, %s, %s", seed, out, plan.operator, first.name, second.name)
	first.apply(c, out, other)
	time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
	if second.name != first.name {
		second.apply(c, out, other)
	}
	time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)

	h := c.hosts[plan.operator]
	if h == nil {
		h = c.hosts[model.HostID(other+"-1")]
	}
	state, _, err := h.sync.SetZone(contextWithTimeout(8*time.Second), "out", out, false)
	answered := time.Now()
	time.Sleep(plan.endFaultsAfter)
	c.endFaults()
	time.Sleep(40 * time.Second)

	accepted := c.host(7).sync.ConfigVersion() == 2
	if err != nil {
		outcome = string(errorCode(err))
		if outcome != "unknown_outcome" && accepted {
			t.Errorf("%s: answered with %v, but accepted later", description, err)
		}
		return outcome, 0
	}
	if startDelay = c.lastEvidenceTime(out).Sub(answered); startDelay > maxStartAfterZoneOut {
		t.Errorf("%s: %s, start evidence %v after the answer", description, state, startDelay)
	}
	if !accepted || !c.inForceEverywhere(2) {
		t.Errorf("%s: %s, but the change is not in force on all hosts after the faults", description, state)
	}
	return state, startDelay
}
