package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
	"github.com/daisyfold/daisyfold/platform"
	"github.com/daisyfold/daisyfold/platform/platformtest"
)

// oddFields are fields that another writer changes in the entries of workers.
var oddFields = []struct {
	name  string
	value any
}{
	{"more", json.RawMessage(strings.Repeat("[", 9000) + strings.Repeat("]", 9000))},
	{"clockMs", json.RawMessage(strings.Repeat("9", 400))},
	{"address", "127.0.0.1:0"},
	{"address", "127.0.0.1:99999"},
	{"capacity", map[string]int{"cpu": math.MaxInt64, "memMb": -1, "gpu": math.MaxInt64}},
	{"born", json.Number("9223372036854775807")},
	{"born", json.Number("4102444800000")}, // the year 2100
	{"address", "127.0.0.1:9"},
}

// oddValues are left under keys of other topics.
var oddValues = []string{"{", "\xff\xfe", strings.Repeat("[", 100_000), `{"version":9223372036854775807}`, "[7]", `{"id":"other","st":[{"n":-1}]}`}

// TestOddRecordsKeepJobsRunning guards against processes that end, runs that end or start twice, and jobs that are lost because of odd records in the store.
func TestOddRecordsKeepJobsRunning(t *testing.T) {
	const seed = 91
	s := &oddRun{cluster: newCluster(t, buildDaemon(t), seed)}
	time.Sleep(3 * time.Second) // the hosts elect an owner
	for n := range *workerCount {
		s.submitFull(n, 1, 4*time.Second)
	}
	s.submitFull(*workerCount, *workerCount, 300*time.Millisecond)
	const interval = 400 * time.Millisecond
	for i, field := range oddFields {
		s.putOddEntries(field.name, field.value)
		s.putOddRecords(oddValues[i%len(oddValues)])
		time.Sleep(interval)
		next := testManifest(1)
		next.Version += int64(i) + 1
		s.store.Put(platform.TopicOperator, store.Record{Key: "config", Value: platformtest.EncodeManifest(next)})
		if i == len(oddFields)/2 {
			killed := s.hosts[0]
			s.restart(killed, killed.signal(syscall.SIGKILL), 0)
		}
	}
	s.checkAlive()
	s.awaitCompletion(s.jobPaths)
	if n := s.fleet.Ledger().Count("done"); n != 2**workerCount {
		t.Errorf("%d runs done, want %d", n, 2**workerCount)
	}
	for _, ending := range []string{"lapsed", "stopped", "failed"} {
		if n := s.fleet.Ledger().Count(ending); n != 0 {
			t.Errorf("%d runs %s", n, ending)
		}
	}
	for _, v := range s.fleet.Ledger().Violations() {
		t.Error(v)
	}
}

// oddRun is the state of the test.
type oddRun struct {
	*cluster
	jobPaths []string // paths of accepted jobs
}

// submitFull submits a gang of which each task fills a worker, until a host accepts it.
func (s *oddRun) submitFull(n, tasks int, duration time.Duration) {
	s.t.Helper()
	step := work.Step{Tasks: tasks, Demand: work.Resources{CPU: 10_000, MemoryMB: 1000, Accelerators: 8}, EstimateMS: int(duration.Milliseconds()), Gang: tasks > 1}
	job := &work.Job{ID: fmt.Sprintf("%016x", n+1), Spec: fmt.Sprint("spec ", n), MaxAttempts: 3, Steps: []work.Step{step}}
	s.fleet.RegisterJob(job, func(int, int) standin.Behaviour { return standin.Behaviour{Work: duration} })
	path := "/normal/" + job.ID
	for attempt := range 20 {
		if status, _ := s.hosts[attempt%*hostCount].call(http.MethodPost, path, platformtest.EncodeSubmission(job)); status == http.StatusOK {
			s.jobPaths = append(s.jobPaths, path)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.t.Errorf("job %s was not accepted", path)
}

// putOddEntries leaves an entry with the changed field over the one of each worker.
func (s *oddRun) putOddEntries(field string, value any) {
	s.t.Helper()
	for i := range *workerCount {
		id := fmt.Sprintf("w%02d", i)
		r, _ := s.store.Newest(platform.TopicWorkers, id)
		entry := map[string]any{}
		d := json.NewDecoder(bytes.NewReader(r.Value))
		d.UseNumber()
		if d.Decode(&entry) != nil {
			continue // the worker has not corrected its entry yet
		}
		entry[field] = value
		odd, err := json.Marshal(entry)
		if err != nil {
			s.t.Fatal(err)
		}
		s.store.Put(platform.TopicWorkers, store.Record{Key: id, Value: odd}, store.Record{Key: "stray", Value: odd}, store.Record{Value: odd})
	}
}

// putOddRecords leaves an odd value in the other topics.
func (s *oddRun) putOddRecords(value string) {
	put := func(topic string, keys ...string) {
		for _, key := range keys {
			s.store.Put(topic, store.Record{Key: key, Value: []byte(value)})
		}
	}
	put(platform.TopicOperator, "config", "wave/1", "stray", "")
	put(platform.TopicStatus, "wave/1", "stray")
	put(replica.TopicJobs, replica.JobKey("stray"), replica.CancelKey(fmt.Sprintf("%016x", 1)), "stray", "")
	put(replica.TopicStatuses, replica.StateKey("stray"), "h/stray", "h/host-0", "stray", "")
	put(replica.TopicRuns, replica.StateKey("stray"), "stray", "")
}
