package replica

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// testClock is a clock that tests set.
type testClock struct{ now time.Duration }

func (c *testClock) read() time.Duration { return c.now }

func newTestRejections(c *testClock) *Rejections {
	return NewRejections("topic", gometrics.NewRegistry(), c.read, zap.NewNop())
}

func newTestJobs(c *testClock) *Jobs {
	return NewJobs(c.read, newTestRejections(c), newTestRejections(c))
}

func testJob(id string) *work.Job {
	return &work.Job{ID: id, MaxAttempts: 3, Steps: []work.Step{{Tasks: 1}}}
}

// TestOddJobRecordIsIgnored guards against a job that starts a second time because of a record under another key, and against numbers out of range.
func TestOddJobRecordIsIgnored(t *testing.T) {
	j := newTestJobs(&testClock{})
	changes := map[string]func(*work.Job){
		"another id":         func(j *work.Job) { j.ID = "b" },
		"no id":              func(j *work.Job) { j.ID = "" },
		"no attempts":        func(j *work.Job) { j.MaxAttempts = 0 },
		"negative priority":  func(j *work.Job) { j.Priority = -1 },
		"vast stretch":       func(j *work.Job) { j.Stretch = 1e300 },
		"vast objective":     func(j *work.Job) { j.ObjectiveMS = 1 << 62 },
		"vast time":          func(j *work.Job) { j.AcceptedMS = 1 << 62 },
		"no steps":           func(j *work.Job) { j.Steps = nil },
		"step after no step": func(j *work.Job) { j.Steps[0].After = []int{7} },
	}
	for name, change := range changes {
		job := testJob("a")
		change(job)
		j.Submissions().Apply([]store.Record{{Key: JobKey("a"), Value: job.Encode()}})
		if e, ok := j.Get("a"); ok {
			t.Errorf("%s: the record is decoded as %+v", name, e.Job)
			j.Submissions().Reset(nil)
		}
	}
	j.Submissions().Apply([]store.Record{{Key: JobKey("a"), Value: testJob("a").Encode()}})
	if e, _ := j.Get("a"); e.Job == nil {
		t.Error("the sound record is ignored")
	}
}

// TestOddCancellationIsIgnored guards against an accepted job that is cancelled by a record that names no time.
func TestOddCancellationIsIgnored(t *testing.T) {
	j := newTestJobs(&testClock{})
	j.Submissions().Apply([]store.Record{{Key: JobKey("a"), Value: testJob("a").Encode()}})
	for _, value := range []string{"-1", "{}", "\xff", "99999999999999999999999"} {
		j.Submissions().Apply([]store.Record{{Key: CancelKey("a"), Value: []byte(value)}})
		if e, _ := j.Get("a"); e.Cancelled {
			t.Errorf("the value %q cancels the job", value)
		}
	}
	j.Submissions().Apply([]store.Record{{Key: CancelKey("a"), Value: CancelValue(time.UnixMilli(5))}})
	if e, _ := j.Get("a"); !e.Cancelled || e.CancelledMS != 5 {
		t.Error("the cancellation is ignored")
	}
}

// TestOddStatusProvesNoOwner guards against a silent owner that counts as alive because another writer writes odd statuses.
func TestOddStatusProvesNoOwner(t *testing.T) {
	clock := &testClock{now: time.Second}
	j := newTestJobs(clock)
	j.Statuses().Apply([]store.Record{OwnerRecord("host"), {Key: StateKey("a"), Value: []byte("r1")}})
	clock.now += time.Minute
	j.Statuses().Apply([]store.Record{{Key: StateKey("a"), Value: []byte("?")}, {Key: "stray", Value: []byte("{}")}, {Key: ownerKey}})
	if member, silent := j.Owner(); member != "host" || silent != time.Minute {
		t.Errorf("the owner is %q, silent for %s", member, silent)
	}
	if e, _ := j.Get("a"); e.Status != work.Running || !e.Started {
		t.Errorf("the status is %c", e.Status)
	}
}
