package engine_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// capRegressions are the seeds of random days with caps that once failed, each with its cause.
var capRegressions = []uint64{
	13,   // tasks that need no CPU were started while their organisation was above its cap of CPU
	1235, // a version that sets a cap where there was none was not read yet, and starts went on
}

// TestRandomDaysKeepCaps is TestRandomDays with organisations whose caps, weights and guarantees
// change. It guards against starts above a cap, whatever is changed, lost, late or taken over,
// and against jobs that never run because of a cap that holds them.
func TestRandomDaysKeepCaps(t *testing.T) {
	all := slices.Clone(capRegressions)
	for i := range *seedCount {
		all = append(all, *firstSeed+uint64(i))
	}
	for _, seed := range all {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateDay(t, seed, dayKind{caps: true}) })
		})
	}
}

// largestGang is what the largest gang of a random job occupies. No cap is below it, so that
// every job can run under each manifest.
var largestGang = work.Resources{CPU: 8 * 54_000, MemoryMB: 8 * 40_000, Accelerators: 8 * 8}

// finalCapFactor is how many of the largest gangs fit under the caps in force at the end of a day,
// so that the work of one organisation can be done within finishTimeout.
const finalCapFactor = 2

// dayKeys are the keys of the organisations of a random day with caps.
var dayKeys = []string{"key", "guest-key", "visitor-key"}

// randomKey returns the key of the organisation that sends the next job.
func (d *randomDay) randomKey() string {
	if d.capRNG == nil {
		return "key"
	}
	return dayKeys[min(d.capRNG.IntN(5), len(dayKeys)-1)] // the last one sends more than the others
}

// randomCap returns a cap that holds the given number of the largest gangs or up to twice as
// much. Some resources have no limit.
func (d *randomDay) randomCap(gangs int) work.Resources {
	limit := func(least, percent int) int {
		if d.capRNG.IntN(100) >= percent {
			return 0
		}
		return gangs*least + d.capRNG.IntN(gangs*least)
	}
	return work.Resources{CPU: limit(largestGang.CPU, 50), MemoryMB: limit(largestGang.MemoryMB, 25), Accelerators: limit(largestGang.Accelerators, 75)}
}

// publishCaps publishes a manifest with random weights, guarantees and caps, each of which holds
// the given number of the largest gangs.
func (d *randomDay) publishCaps(gangs int) {
	m := defaultManifest()
	m.Organisations = nil
	for i, key := range dayKeys {
		o := manifest.Organisation{Name: []string{"choir", "guest", "visitor"}[i], Keys: []string{key}, Cap: d.randomCap(gangs), Weight: float64(d.capRNG.IntN(5))}
		if i == 0 {
			o.GuaranteedAccelerators = d.capRNG.IntN(largestGang.Accelerators)
		}
		m.Organisations = append(m.Organisations, o)
	}
	d.manifests = append(d.manifests, m)
	d.publishManifest(m)
}

// rollBack publishes a manifest with the content of a former one.
func (d *randomDay) rollBack() {
	m := defaultManifest()
	m.Organisations = d.manifests[d.capRNG.IntN(len(d.manifests))].Organisations
	d.publishManifest(m)
}

// changeCaps publishes up to three manifests in quick succession, and sometimes makes the next
// orders late.
func (d *randomDay) changeCaps() {
	for range 1 + d.capRNG.IntN(3) {
		if d.capRNG.IntN(4) == 0 {
			d.rollBack()
		} else {
			d.publishCaps(1)
		}
		time.Sleep(time.Duration(d.capRNG.IntN(400)) * time.Millisecond)
	}
	d.fleet.DelayOrders(d.capRNG.IntN(5))
}
