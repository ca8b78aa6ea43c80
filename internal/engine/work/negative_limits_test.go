package work

import "testing"

// TestNegativeLimitsAreRejected guards against a step whose tasks are chosen for a stop that is then withheld for ever, while urgent jobs wait.
func TestNegativeLimitsAreRejected(t *testing.T) {
	for _, s := range []Step{{Tasks: 1, MaxUnavailable: -1}, {Tasks: 1, MaxPerWorker: -1}} {
		j := Job{Steps: []Step{s}}
		if err := j.Validate(); err == nil {
			t.Errorf("%+v is accepted", s)
		}
	}
}
