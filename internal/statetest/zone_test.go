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
	roundsFlag = flag.Int("rounds", 16, "seeds that each random test tries")
)

// startBound is the bound of I3.
const startBound = 3 * time.Second

// faults are the ways in which a zone-out is disturbed. Each takes the zone that is
// taken out and another one.
var faults = []struct {
	name  string
	apply func(c *cluster, out, other model.Zone)
}{
	{"none", func(*cluster, model.Zone, model.Zone) {}},
	{"zone cut off from the platform", func(c *cluster, out, _ model.Zone) { c.cutLog(out) }},
	{"zone cut off from all", func(c *cluster, out, _ model.Zone) { c.cutLog(out); c.isolate(out) }},
	{"zone cut off from peers", func(c *cluster, out, _ model.Zone) { c.isolate(out) }},
	{"one-way cut from the zone", func(c *cluster, out, other model.Zone) { c.cutZones(out, other) }},
	{"one-way cut to the zone", func(c *cluster, out, other model.Zone) { c.cutZones(other, out); c.cutLog(out) }},
	{"platform down", func(c *cluster, _, _ model.Zone) { c.log.SetFaults(func(f *logtest.Faults) { f.Down = true }) }},
	{"platform silent", func(c *cluster, _, _ model.Zone) { c.log.SetFaults(func(f *logtest.Faults) { f.Unresponsive = true }) }},
	{"only the zone reads the log", func(c *cluster, out, _ model.Zone) {
		for _, z := range zoneNames {
			if z != out {
				c.cutLog(z)
			}
		}
	}},
	{"only another zone reads the log", func(c *cluster, _, other model.Zone) {
		for _, z := range zoneNames {
			if z != other {
				c.cutLog(z)
			}
		}
	}},
	{"another zone cut off from peers", func(c *cluster, _, other model.Zone) { c.isolate(other) }},
	{"slow platform", func(c *cluster, _, _ model.Zone) {
		c.log.SetFaults(func(f *logtest.Faults) { f.Latency = 900 * time.Millisecond })
	}},
	{"very slow platform", func(c *cluster, _, _ model.Zone) {
		c.log.SetFaults(func(f *logtest.Faults) { f.Latency = 2500 * time.Millisecond })
	}},
	{"a host of the zone restarts empty", func(c *cluster, out, _ model.Zone) { c.restart(model.HostID(out + "-1")) }},
	{"another host restarts empty", func(c *cluster, _, other model.Zone) { c.restart(model.HostID(other + "-0")) }},
	{"a host of the zone dies", func(c *cluster, out, _ model.Zone) { c.kill(model.HostID(out + "-0")) }},
}

// directed are pairs of faults that random choice rarely makes, each of which
// guards one condition of an answer. The operator is in the other zone. In the first
// one, three zones without log start by the outage rule while the operator's zone,
// cut off from them, writes the change to the log. In the second, the zone alone
// reads the log while the others hold the change as pending.
var directed = [][2]string{
	{"only another zone reads the log", "another zone cut off from peers"},
	{"only the zone reads the log", "zone cut off from peers"},
	{"platform down", "none"},
	{"platform silent", "a host of the zone dies"},
	{"platform down", "zone cut off from all"},
}

func faultNamed(name string) int {
	for i, f := range faults {
		if f.name == name {
			return i
		}
	}
	panic(name)
}

func (c *cluster) isolate(z model.Zone) {
	for _, other := range zoneNames {
		if other != z {
			c.cutZones(z, other)
			c.cutZones(other, z)
		}
	}
}

// Guards I3: after a zone-out was answered accepted or pending, no host of the zone
// may have start evidence more than 3 s later, whatever is cut, down or slow. Two
// faults are combined; they heal after a random time. Guards I5 as well: a zone-out
// that was answered not_run is never accepted.
func TestNoStartAfterZoneOut(t *testing.T) {
	outcomes := make(map[string]int)
	var latest time.Duration
	run := func(seed uint64, plan round) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				outcome, late := zoneOutRound(t, seed, plan)
				outcomes[outcome]++
				latest = max(latest, late)
			})
		})
	}
	for i, d := range directed {
		run(uint64(i), round{out: "rennes", other: "brest", first: faultNamed(d[0]), second: faultNamed(d[1]), operator: "brest-0", hold: 8 * time.Second})
	}
	for i := range *roundsFlag {
		seed := *seedFlag + uint64(i)
		run(seed, randomRound(rand.New(rand.NewPCG(seed, 5))))
	}
	t.Logf("seeds %d to %d: answers %v, last start at most %v after the answer",
		*seedFlag, *seedFlag+uint64(*roundsFlag)-1, outcomes, latest)
	if outcomes["accepted"] == 0 || outcomes["pending"] == 0 {
		t.Errorf("the faults leave an answer untried: %v", outcomes)
	}
}

// round is one plan of a zone-out with two faults.
type round struct {
	out, other    model.Zone
	first, second int
	operator      model.HostID
	hold          time.Duration // from the answer to the end of the faults
}

func randomRound(rng *rand.Rand) round {
	perm := rng.Perm(len(zoneNames))
	return round{
		out: zoneNames[perm[0]], other: zoneNames[perm[1]],
		first: rng.IntN(len(faults)), second: rng.IntN(len(faults)),
		operator: model.HostID(fmt.Sprintf("%s-%d", zoneNames[rng.IntN(len(zoneNames))], rng.IntN(2))),
		hold:     time.Duration(rng.IntN(12000)) * time.Millisecond,
	}
}

func zoneOutRound(t *testing.T, seed uint64, plan round) (outcome string, late time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 3))
	c := newCluster(t, seed, 2+int(seed%2))
	defer c.close()
	c.publishFirst()
	out, other := plan.out, plan.other
	first, second := faults[plan.first], faults[plan.second]
	name := fmt.Sprintf("seed %d: %s out by %s, %s, %s", seed, out, plan.operator, first.name, second.name)
	first.apply(c, out, other)
	time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
	if second.name != first.name {
		second.apply(c, out, other)
	}
	time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)

	n := c.nodes[plan.operator]
	if n == nil {
		n = c.nodes[model.HostID(other+"-1")]
	}
	state, _, err := n.sync.SetZone(within(8*time.Second), "out", out, false)
	answered := time.Now()
	time.Sleep(plan.hold)
	c.heal()
	time.Sleep(40 * time.Second)

	accepted := c.node(7).sync.ConfigVersion() == 2
	if err != nil {
		outcome = string(codeOf(err))
		if outcome != "unknown_outcome" && accepted {
			t.Errorf("%s: answered %v, but accepted later", name, err)
		}
		return outcome, 0
	}
	if late = c.lastStart(out).Sub(answered); late > startBound {
		t.Errorf("%s: %s, a start %v after the answer", name, state, late)
	}
	if !accepted || !c.everywhere(2) {
		t.Errorf("%s: %s, but the change is not in force everywhere after the faults", name, state)
	}
	return state, late
}
