package blame

import (
	"testing"
	"time"
)

const old, fresh = 5 * time.Second, 10 * time.Millisecond

func known(job string, age time.Duration, crashes int) Run {
	return Run{Job: job, Age: age, AgeKnown: true, Crashes: crashes}
}

// TestJudge guards against verdicts that give up a job that only shared a worker, or that spare one that crashes its workers.
func TestJudge(t *testing.T) {
	counted, given := Verdict{Counted: true}, Verdict{Counted: true, GiveUp: true}
	for _, test := range []struct {
		name string
		runs []Run
		want []Verdict
	}{
		{"first crash", []Run{known("a", fresh, 0)}, []Verdict{counted}},
		{"second crash", []Run{known("a", fresh, 1)}, []Verdict{given}},
		{"beside older runs", []Run{known("a", fresh, 1), known("b", old, 1)}, []Verdict{given, {}}},
		{"two fresh jobs", []Run{known("a", fresh, 1), known("b", fresh, 1)}, []Verdict{counted, counted}},
		{"two fresh tasks of a job", []Run{known("a", fresh, 1), known("a", fresh, 0)}, []Verdict{given, counted}},
		{"limit beside a fresh job", []Run{known("a", fresh, 3), known("b", fresh, 0)}, []Verdict{given, counted}},
		{"no fresh run", []Run{known("a", old, 1), known("b", old, 0)}, []Verdict{counted, counted}},
		{"no fresh run, alone", []Run{known("a", old, 2)}, []Verdict{counted}},
		{"no fresh run, limit", []Run{known("a", old, 3)}, []Verdict{given}},
		{"unknown age", []Run{{Job: "a", Crashes: 1}}, []Verdict{counted}},
		{"unknown age beside a fresh run", []Run{{Job: "a"}, known("b", fresh, 1)}, []Verdict{counted, counted}},
		{"old run", []Run{known("a", 2*time.Minute, 9)}, []Verdict{{}}},
	} {
		for i, got := range Judge(test.runs) {
			if got != test.want[i] {
				t.Errorf("%s: run %d: got %+v, want %+v", test.name, i, got, test.want[i])
			}
		}
	}
}

// TestSharedLoss guards against power cuts that count against the tasks of their workers, and against bad tasks that are spared because they crash workers at the same time.
func TestSharedLoss(t *testing.T) {
	at := func(worker string, ms int, fresh bool) Loss {
		return Loss{Worker: worker, At: time.Duration(ms) * time.Millisecond, Fresh: fresh}
	}
	for _, test := range []struct {
		name string
		loss Loss
		all  []Loss
		want bool
	}{
		{"alone", at("a", 5000, true), []Loss{at("a", 5000, true), at("b", 2000, false)}, false},
		{"power cut", at("a", 5000, false), []Loss{at("b", 5400, false)}, true},
		{"fresh run in a power cut", at("a", 5000, true), []Loss{at("b", 4200, false)}, true},
		{"two bad tasks", at("a", 5000, true), []Loss{at("b", 5010, true)}, false},
	} {
		if got := SharedLoss(test.loss, test.all); got != test.want {
			t.Errorf("%s: got %v", test.name, got)
		}
	}
}
