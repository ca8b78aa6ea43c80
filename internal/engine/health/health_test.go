package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

const ms = time.Millisecond

// failed returns the failure of a task that started and failed at the given times.
func failed(job string, index int, startedAt, at time.Duration) Failure {
	return Failure{Task: work.TaskName{Job: job, Index: index}, StartedAt: startedAt, At: at}
}

// TestRestNeedsEvidenceAboutTheWorker guards against workers that rest because of jobs that fail everywhere, and against those that fail all runs and do not rest.
func TestRestNeedsEvidenceAboutTheWorker(t *testing.T) {
	sound, everywhere, unknown := JobView{WorksElsewhere: true}, JobView{FailsEverywhere: true}, JobView{}
	cases := []struct {
		name     string
		failures []Failure
		views    map[string]JobView
		rests    bool
	}{
		{"one failure", []Failure{failed("a", 0, 100*ms, 200*ms)}, map[string]JobView{"a": sound}, false},
		{"one task again and again", []Failure{failed("a", 0, 100*ms, 200*ms), failed("a", 0, 300*ms, 400*ms), failed("a", 0, 500*ms, 600*ms)}, map[string]JobView{"a": sound}, false},
		{"tasks of a job that works elsewhere", []Failure{failed("a", 0, 100*ms, 200*ms), failed("a", 1, 100*ms, 200*ms)}, map[string]JobView{"a": sound}, true},
		{"tasks of a job that has run nowhere else", []Failure{failed("a", 0, 100*ms, 200*ms), failed("a", 1, 100*ms, 200*ms)}, map[string]JobView{"a": unknown}, false},
		{"several jobs", []Failure{failed("a", 0, 100*ms, 200*ms), failed("b", 0, 100*ms, 200*ms)}, map[string]JobView{"a": unknown, "b": unknown}, true},
		{"several jobs that fail everywhere", []Failure{failed("a", 0, 100*ms, 200*ms), failed("b", 0, 100*ms, 200*ms)}, map[string]JobView{"a": everywhere, "b": everywhere}, false},
		{"a job beside one that fails everywhere", []Failure{failed("a", 0, 100*ms, 200*ms), failed("b", 0, 100*ms, 200*ms)}, map[string]JobView{"a": everywhere, "b": unknown}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := &Worker{}
			for _, f := range c.failures {
				w.AddFailure(f)
			}
			if rest := w.Rest(nil, 700*ms, func(job string) JobView { return c.views[job] }); (rest != nil) != c.rests {
				t.Errorf("rest %+v, want one: %v", rest, c.rests)
			}
		})
	}
}

// restingWorker returns a worker on which two jobs have failed after 100 ms.
func restingWorker() *Worker {
	w := &Worker{}
	w.AddFailure(failed("a", 0, 100*ms, 200*ms))
	w.AddFailure(failed("b", 0, 100*ms, 200*ms))
	return w
}

func noView(string) JobView { return JobView{} }

// TestRestEndsByEvidence guards against rests that outlast the trouble, and against those that end by runs that started before it.
func TestRestEndsByEvidence(t *testing.T) {
	cases := []struct {
		name   string
		update func(w *Worker)
		rests  bool
	}{
		{"nothing", func(w *Worker) { w.Update(nil, time.Second) }, true},
		{"a run that is done", func(w *Worker) { w.Done(300 * ms) }, false},
		{"a run that is done, started before", func(w *Worker) { w.Done(50 * ms) }, true},
		{"a run that has worked for longer", func(w *Worker) { w.Update([]Run{{StartedAt: 300 * ms}}, time.Second) }, false},
		{"a run that works since before", func(w *Worker) { w.Update([]Run{{StartedAt: 50 * ms}}, time.Second) }, true},
		{"a run as old as the failed ones", func(w *Worker) { w.Update([]Run{{StartedAt: 900 * ms}}, time.Second) }, true},
		{"a run that has not begun", func(w *Worker) { w.Update([]Run{{}}, time.Second) }, true},
		{"time", func(w *Worker) { w.Update(nil, time.Minute) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := restingWorker()
			c.update(w)
			if rest := w.Rest(nil, time.Second, noView); (rest != nil) != c.rests {
				t.Errorf("rest %+v, want one: %v", rest, c.rests)
			}
		})
	}
}

// TestProbesAreOneAtATime guards against several probes at once, and against probes that only jobs get that have failed on the worker.
func TestProbesAreOneAtATime(t *testing.T) {
	cases := []struct {
		runs             []Run
		now              time.Duration
		open, openFailed bool
	}{
		{nil, 300 * ms, false, false},
		{nil, 700 * ms, true, false},
		{nil, 1300 * ms, true, true},
		{[]Run{{}}, 1300 * ms, false, false},
		{[]Run{{StartedAt: 1200 * ms}}, 1300 * ms, false, false},
		{[]Run{{StartedAt: 50 * ms}}, 1300 * ms, true, true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.runs, c.now), func(t *testing.T) {
			rest := restingWorker().Rest(c.runs, c.now, noView)
			if open, openFailed := rest.Open(false, true, c.now), rest.Open(true, true, c.now); open != c.open || openFailed != c.openFailed {
				t.Errorf("open %v and %v, want %v and %v", open, openFailed, c.open, c.openFailed)
			}
		})
	}
}

// TestPauseIsBounded guards against pauses between probes that grow beyond the time in which a start is expected.
func TestPauseIsBounded(t *testing.T) {
	w := &Worker{}
	for i := range 3 * maxFailures {
		at := time.Duration(i) * 100 * ms
		w.AddFailure(failed(fmt.Sprint(i), 0, at, at+50*ms))
	}
	last := w.failures[len(w.failures)-1].At
	rest := w.Rest(nil, last, noView)
	if len(w.failures) != maxFailures || !rest.Open(false, true, last+maxPause) || !rest.Open(true, true, last+2500*ms) {
		t.Errorf("%d failures, closed to pressing work after %+v", len(w.failures), rest)
	}
	if rest.Open(false, false, last+maxPause) || !rest.Open(true, false, last+maxPatientPause+secondChanceDelay) {
		t.Errorf("open too early or too late to work that is not pressing: %+v", rest)
	}
}

// TestJobThatFailsEverywhere guards against a job that is taken for sound or for broken by the failures on one worker.
func TestJobThatFailsEverywhere(t *testing.T) {
	j := &Job{}
	j.AddFailure("a", 100*ms)
	if v := j.View("a", nil, 4); v.FailsEverywhere || v.WorksElsewhere {
		t.Errorf("after one worker: %+v", v)
	}
	j.AddFailure("b", 1500*ms)
	if v := j.View("a", nil, 2); !v.FailsEverywhere {
		t.Errorf("after both of two workers: %+v", v)
	}
	j.AddFailure("e", 100*ms)
	if v := j.View("a", nil, 4); !v.FailsEverywhere {
		t.Errorf("after three workers: %+v", v)
	}
	if v := j.View("a", map[string]bool{"c": true}, 4); v.FailsEverywhere || !v.WorksElsewhere {
		t.Errorf("with a run that works: %+v", v)
	}
	if v := j.View("a", map[string]bool{"a": true}, 4); v.FailsEverywhere || v.WorksElsewhere {
		t.Errorf("with a run that works on the worker itself: %+v", v)
	}
	j.AddDone("d")
	if v := j.View("a", nil, 4); v.FailsEverywhere || !v.WorksElsewhere {
		t.Errorf("after a run that is done: %+v", v)
	}
	if j.LongestFailure != 1500*ms || !j.FailedOn()["b"] {
		t.Errorf("longest failure %v, failed on %v", j.LongestFailure, j.FailedOn())
	}
}
