package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// BenchmarkLargeDay simulates a minute of a large deployment: 350 workers, and ten jobs of
// ten tasks each per second. It measures the processor time of the scheduler and the
// simulation together; a profile separates them.
func BenchmarkLargeDay(b *testing.B) {
	for b.Loop() {
		runLargeDay(b)
	}
}

func runLargeDay(b *testing.B) {
	b.Helper()
	done := testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "day", F: func(t *testing.T) { synctest.Test(t, simulateLargeDay) },
	}})
	if !done {
		b.Fatal("the simulation failed")
	}
}

func simulateLargeDay(t *testing.T) {
	c := newCluster(t, clusterOptions{hosts: 3, workers: 350})
	defer c.close()
	queues := []string{"urgent", "normal", "batch"}
	for n := 1; n <= 600; n++ {
		j := newJob(n, work.Step{Tasks: 10, Demand: smallTask, EstimateMS: 4000, Gang: n%3 != 0, SameRack: n%2 == 0})
		go c.submit(queues[n%3], j, standin.Behaviour{Work: 4 * time.Second})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
}
