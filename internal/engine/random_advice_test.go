package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
)

// TestRandomDaysWithSlowAdvice is TestRandomDays with more jobs that need advice, whose calls take
// seconds and whose tickets are valid for a short or a long time, both of which change. It guards
// against jobs that never start because of that.
func TestRandomDaysWithSlowAdvice(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateDay(t, seed, dayKind{slowAdvice: true}) })
		})
	}
}

// randomAdvice changes the times of calls for advice.
func (d *randomDay) randomAdvice() {
	a := manifest.Advice{
		Base:      time.Duration(d.adviceRNG.IntN(1000)) * time.Millisecond,
		PerWorker: time.Duration(d.adviceRNG.IntN(80)) * time.Millisecond,
		Validity:  time.Duration(200+d.adviceRNG.IntN(6000)) * time.Millisecond,
	}
	countsFromCall := d.adviceRNG.IntN(2) == 0
	if longest := a.CallDuration(dayWorkers); countsFromCall && a.Validity < 2*longest {
		a.Validity = 2 * longest // a gang could not get all of its tickets in time
	}
	d.advisor.SetCountsFromCall(countsFromCall)
	d.setAdvice(a)
}
