package blame

import (
	"testing"
	"time"
)

const old, fresh = 5 * time.Second, 10 * time.Millisecond

func known(job string, age time.Duration, crashes int) Run {
	return Run{Job: job, Age: age, AgeKnown: true, Crashes: crashes, FreshCrashes: crashes}
}

// TestJudge guards against verdicts that give up a job that only shared a worker, or that spare one that crashes its workers.
func TestJudge(t *testing.T) {
	counted, given := Verdict{Counted: true}, Verdict{Counted: true, GiveUp: true}
	for _, test := range []struct {
		name   string
		runs   []Run
		want   []Verdict
		shared bool
	}{
		{"first crash", []Run{known("a", fresh, 0)}, []Verdict{counted}, false},
		{"second crash", []Run{known("a", fresh, 1)}, []Verdict{given}, false},
		{"second crash, the first of unknown age", []Run{{Job: "a", Age: fresh, AgeKnown: true, Crashes: 1}}, []Verdict{counted}, false},
		{"beside older runs", []Run{known("a", fresh, 1), known("b", old, 1)}, []Verdict{given, {}}, false},
		{"two fresh jobs", []Run{known("a", fresh, 1), known("b", fresh, 1)}, []Verdict{counted, counted}, false},
		{"two fresh jobs, clear lead", []Run{known("a", fresh, 2), known("b", fresh, 0)}, []Verdict{given, counted}, false},
		{"two fresh jobs, no clear lead", []Run{known("a", fresh, 2), known("b", fresh, 1)}, []Verdict{counted, counted}, false},
		{"two fresh tasks of a job", []Run{known("a", fresh, 1), known("a", fresh, 0)}, []Verdict{given, counted}, false},
		{"limit beside a fresh job", []Run{known("a", fresh, 3), known("b", fresh, 0)}, []Verdict{given, counted}, false},
		{"no fresh run", []Run{known("a", old, 1), known("b", old, 0)}, []Verdict{counted, counted}, false},
		{"no fresh run, alone", []Run{known("a", old, 2)}, []Verdict{counted}, false},
		{"no fresh run, limit", []Run{known("a", old, 3)}, []Verdict{given}, false},
		{"long-running, limit", []Run{{Job: "a", Crashes: 9, LongRunning: true}}, []Verdict{counted}, false},
		{"unknown age", []Run{{Job: "a", Crashes: 1}}, []Verdict{counted}, false},
		{"unknown age beside a fresh run", []Run{{Job: "a"}, known("b", fresh, 1)}, []Verdict{counted, counted}, false},
		{"old run", []Run{known("a", 2*time.Minute, 9)}, []Verdict{{}}, false},
		{"beside other losses", []Run{known("a", fresh, 1), known("b", old, 0)}, []Verdict{counted, {}}, true},
		{"beside other losses, limit", []Run{known("a", fresh, 3)}, []Verdict{given}, true},
		{"unanswered beside an old run", []Run{{Job: "a", Unanswered: true}, known("b", old, 0)}, []Verdict{counted, counted}, false},
		{"unanswered, shared", []Run{{Job: "a", Unanswered: true, Crashes: 1, FreshCrashes: 1}}, []Verdict{counted}, true},
		{"unanswered, limit", []Run{{Job: "a", Unanswered: true, Crashes: 3}}, []Verdict{given}, true},
		{"unanswered, long-running", []Run{{Job: "a", Unanswered: true, Crashes: 9, FreshCrashes: 2, LongRunning: true}}, []Verdict{counted}, true},
		{"unanswered, long-running, limit", []Run{{Job: "a", Unanswered: true, Crashes: 9, FreshCrashes: 3, LongRunning: true}}, []Verdict{given}, true},
		{"old long-running run", []Run{{Job: "a", Age: old, AgeKnown: true, Crashes: 9, FreshCrashes: 3, LongRunning: true}}, []Verdict{counted}, false},
		{"beside other losses, no fresh run", []Run{known("a", old, 3), {Job: "b", Crashes: 3}}, []Verdict{{}, {}}, true},
	} {
		for i, got := range Judge(test.runs, test.shared) {
			if got != test.want[i] {
				t.Errorf("%s: run %d: got %+v, want %+v", test.name, i, got, test.want[i])
			}
		}
	}
}

// TestUnansweredStartIsNoProof guards against a sound job that is given up after a start that was sent to a lost worker and one power cut.
func TestUnansweredStartIsNoProof(t *testing.T) {
	if (Run{Unanswered: true}).CountsAsFresh() {
		t.Error("an unanswered start counts as a crash right after the start")
	}
	if !(Run{Unanswered: true, LongRunning: true}).CountsAsFresh() {
		t.Error("an unanswered start of a long-running task is not counted")
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
