package engine_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// oddEntry is an entry in the list of workers that another writer left under the id of a live
// worker, or under an id of its own.
type oddEntry struct {
	name  string
	newID string // replaces the id of the live worker, if set
	// change changes the live worker's entry; other is the entry of another worker.
	change func(entry, other map[string]any)
	// value replaces the changed entry, if set.
	value []byte
}

func setField(name string, value any) func(entry, other map[string]any) {
	return func(entry, _ map[string]any) { entry[name] = value }
}

func setCapacity(cpu, memory, accelerators int) func(entry, other map[string]any) {
	return setField("capacity", map[string]any{"cpu": cpu, "memMb": memory, "gpu": accelerators})
}

func shiftStart(by int64) func(entry, other map[string]any) {
	return func(entry, _ map[string]any) {
		start, _ := entry["born"].(json.Number).Int64()
		entry["born"] = start + by
	}
}

func sameEntry(_, _ map[string]any) {}

var oddEntries = []oddEntry{
	{name: "nested", value: []byte(strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9000))},
	{name: "nested beyond the decoder", value: []byte(strings.Repeat("[", 200_000))},
	{name: "bytes", value: []byte{0xff, 0xfe, 0}},
	{name: "number too large", change: setField("clockMs", json.Number(strings.Repeat("9", 400)))},
	{name: "port 0", change: setField("address", "10.0.0.1:0")},
	{name: "port 99999", change: setField("address", "10.0.0.1:99999")},
	{name: "unknown state", change: setField("state", "lost")},
	{name: "unknown service", change: setField("service", "others")},
	{name: "negative capacity", change: setCapacity(1000, -1<<40, -1<<40)},
	{name: "vast capacity", change: setCapacity(math.MaxInt64, math.MaxInt64, math.MaxInt64)},
	{name: "vast clock", change: setField("clockMs", int64(math.MaxInt64))},
	{name: "late clock", change: setField("clockMs", int64(1)<<40)},
	{name: "vast remaining time", change: func(entry, _ map[string]any) { entry["state"], entry["remainingMs"] = "draining", 1e308 }},
	{name: "later start", change: shiftStart(1000)},
	{name: "vast start", change: setField("born", int64(math.MaxInt64))},
	{name: "earlier start", change: shiftStart(-1000)},
	{name: "address of nobody", change: setField("address", "10.9.9.9:80")},
	{name: "address of another worker", change: func(entry, other map[string]any) { entry["address"] = other["address"] }},
	{name: "live address under another id", newID: "stray", change: sameEntry},
	{name: "live address under another id, later start", newID: "stray", change: shiftStart(1000)},
	{name: "vast worker at no address", newID: "stray", change: func(entry, _ map[string]any) {
		entry["address"] = "10.9.9.9:80"
		setCapacity(1<<40, 1<<40, 1<<40)(entry, nil)
	}},
}

// entryFields returns the fields of the entry of worker i.
func (c *cluster) entryFields(i int) map[string]any {
	c.t.Helper()
	r, _ := c.store.Newest(standin.TopicWorkers, newWorkerEntry(i).ID)
	fields := map[string]any{}
	d := json.NewDecoder(strings.NewReader(string(r.Value)))
	d.UseNumber()
	if err := d.Decode(&fields); err != nil {
		c.t.Fatal(err)
	}
	return fields
}

// soundEntries returns the fields of the entries of all workers.
func (c *cluster) soundEntries() []map[string]any {
	sound := make([]map[string]any, len(c.workers))
	for i := range c.workers {
		sound[i] = c.entryFields(i)
	}
	return sound
}

// putOddEntries leaves the odd entry over each worker.
func (c *cluster) putOddEntries(o oddEntry) {
	c.t.Helper()
	c.putOddEntriesOver(o, c.soundEntries())
}

// putOddEntriesOver leaves the odd entry over each worker, whose own entries are given.
func (c *cluster) putOddEntriesOver(o oddEntry, sound []map[string]any) {
	c.t.Helper()
	for i := range c.workers {
		entry := maps.Clone(sound[i])
		value := o.value
		if value == nil {
			o.change(entry, sound[(i+1)%len(sound)])
			var err error
			if value, err = json.Marshal(entry); err != nil {
				c.t.Fatal(err)
			}
		}
		id := newWorkerEntry(i).ID
		if o.newID != "" {
			id = fmt.Sprint(o.newID, i)
		}
		c.store.Put(standin.TopicWorkers, store.Record{Key: id, Value: value}, store.Record{Value: value})
	}
}

// awaitHeartbeat waits until the workers have just written their entries.
func (c *cluster) awaitHeartbeat() {
	const delay = 50 * time.Millisecond
	time.Sleep(heartbeatInterval - time.Since(c.start)%heartbeatInterval + delay)
}

// checkSingleRuns checks that each task of the jobs has run once, and that no worker counts as
// crashed at the running hosts.
func (c *cluster) checkSingleRuns(jobs ...work.Job) {
	c.t.Helper()
	for _, j := range jobs {
		for i := range j.Steps[0].Tasks {
			if runs := c.fleet.Ledger().Runs(work.TaskName{Job: j.ID, Index: i}); len(runs) != 1 {
				c.t.Errorf("task %d of job %s has run %d times", i, j.ID, len(runs))
			}
		}
	}
	for name, h := range c.hosts {
		if n := gometrics.GetOrRegisterCounter("scheduler.worker_crashes", h.metrics).Count(); n != 0 {
			c.t.Errorf("%s counts %d crashes of workers", name, n)
		}
	}
}

// forOddEntries runs a test in virtual time for each odd entry, on a cluster of eight workers.
func forOddEntries(t *testing.T, test func(c *cluster, o oddEntry)) {
	for _, o := range oddEntries {
		t.Run(o.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, clusterOptions{hosts: 3, workers: 8, platformFormat: true})
				defer c.close()
				test(c, o)
			})
		})
	}
}

// fillCluster submits jobs that use all workers for the given time.
func (c *cluster) fillCluster(key, queue string, duration time.Duration) []work.Job {
	var jobs []work.Job
	for n := range c.workers {
		j := newJob(100+n, work.Step{Tasks: 1, Demand: largeTask, EstimateMS: int(duration.Milliseconds()), Gang: n%2 == 0})
		c.submitWithKey(key, queue, j, standin.Behaviour{Work: duration})
		jobs = append(jobs, j)
	}
	time.Sleep(time.Second)
	c.awaitHeartbeat()
	return jobs
}

// awaitAll waits until all jobs are completed.
func (c *cluster) awaitAll(jobs []work.Job, within time.Duration) {
	c.t.Helper()
	for _, j := range jobs {
		c.awaitStatus(j.ID, work.Completed, within)
	}
}

// TestOddEntryWhileFullKeepsRuns guards against runs that end or start twice, and workers that stay unused, after an odd entry on a full cluster.
func TestOddEntryWhileFullKeepsRuns(t *testing.T) {
	forOddEntries(t, func(c *cluster, o oddEntry) {
		jobs := c.fillCluster("key", "normal", 8*time.Second)
		c.putOddEntries(o)
		for n := range c.workers {
			j := newJob(200+n, work.Step{Tasks: 1, Demand: largeTask, EstimateMS: 2000})
			c.submit("normal", j, standin.Behaviour{Work: 2 * time.Second})
			jobs = append(jobs, j)
		}
		c.awaitAll(jobs, 14*time.Second)
		c.checkSingleRuns(jobs...)
	})
}

// TestOddEntryKeepsGuarantee guards against guaranteed work that waits for an odd entry while its room is reclaimed.
func TestOddEntryKeepsGuarantee(t *testing.T) {
	forOddEntries(t, func(c *cluster, o oddEntry) {
		others := c.fillCluster("guest-key", "urgent", 12*time.Second)
		c.putOddEntries(o)
		guaranteed := newJob(1, work.Step{Tasks: 4, Demand: largeTask, EstimateMS: 1000, Gang: true, SameRack: true})
		c.submit("urgent", guaranteed, standin.Behaviour{Work: time.Second})
		const maxReclaimDelay = 3400 * time.Millisecond // from the platform's settings
		if took := c.awaitStatus(guaranteed.ID, work.Completed, 20*time.Second); took > maxReclaimDelay+time.Second {
			c.t.Errorf("the guaranteed gang of 1 s took %s", took)
		}
		c.awaitAll(others, time.Minute)
		c.checkSingleRuns(guaranteed)
	})
}

// TestOddEntryDoesNotHoldUpGang guards against a gang larger than what is free that never starts after an odd entry.
func TestOddEntryDoesNotHoldUpGang(t *testing.T) {
	forOddEntries(t, func(c *cluster, o oddEntry) {
		jobs := c.fillCluster("key", "normal", 6*time.Second)
		gang := newJob(1, work.Step{Tasks: 8, Demand: largeTask, EstimateMS: 1000, Gang: true})
		c.submit("normal", gang, standin.Behaviour{Work: time.Second})
		c.putOddEntries(o)
		small := newJob(2, work.Step{Tasks: 4, Demand: smallTask, EstimateMS: 500})
		c.submit("normal", small, standin.Behaviour{Work: 500 * time.Millisecond})
		jobs = append(jobs, gang, small)
		c.awaitAll(jobs, 12*time.Second)
		c.checkSingleRuns(jobs...)
	})
}

// crashOwnerBehind crashes the owner and leaves the odd entry over the workers' own ones until
// the next owner has read the list.
func (c *cluster) crashOwnerBehind(o oddEntry) {
	c.t.Helper()
	former := c.owner().name
	c.crash(former)
	const writeInterval, takeover = 100 * time.Millisecond, 500 * time.Millisecond
	sound := c.soundEntries()
	for owned := time.Duration(0); owned < takeover; owned += writeInterval {
		c.putOddEntriesOver(o, sound)
		time.Sleep(writeInterval)
		if c.owner() == nil {
			owned = 0
		}
	}
}

// TestOddEntryAtTakeoverKeepsRuns guards against runs that a new owner ends or starts twice because it has read an odd entry.
func TestOddEntryAtTakeoverKeepsRuns(t *testing.T) {
	forOddEntries(t, func(c *cluster, o oddEntry) {
		jobs := c.fillCluster("key", "normal", 10*time.Second)
		c.crashOwnerBehind(o)
		c.checkWorkAfterTakeover(jobs)
	})
}

// TestOddEntryAfterTakeoverKeepsRuns guards against runs that a new owner ends or starts twice because of a later odd entry.
func TestOddEntryAfterTakeoverKeepsRuns(t *testing.T) {
	forOddEntries(t, func(c *cluster, o oddEntry) {
		jobs := c.fillCluster("key", "normal", 10*time.Second)
		c.crash(c.owner().name)
		time.Sleep(2 * heartbeatInterval)
		c.awaitHeartbeat()
		c.putOddEntries(o)
		c.checkWorkAfterTakeover(jobs)
	})
}

// checkWorkAfterTakeover checks that the jobs and a later gang on all workers run once.
func (c *cluster) checkWorkAfterTakeover(jobs []work.Job) {
	c.t.Helper()
	later := newJob(1, work.Step{Tasks: 8, Demand: largeTask, EstimateMS: 1000, Gang: true})
	c.submit("normal", later, standin.Behaviour{Work: time.Second})
	jobs = append(jobs, later)
	c.awaitAll(jobs, 25*time.Second)
	c.checkSingleRuns(jobs...)
}

// TestOddClockDoesNotDelayLapse guards against a task that waits long for the lease of a lost worker because an odd entry named another clock.
func TestOddClockDoesNotDelayLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 2, platformFormat: true})
		defer c.close()
		c.crashOwnerBehind(oddEntry{change: setField("clockMs", int64(1)<<40)})
		time.Sleep(10 * time.Minute)
		j := newJob(1, work.Step{Tasks: 1, Demand: largeTask, EstimateMS: 4000})
		c.submit("normal", j, standin.Behaviour{Work: 4 * time.Second})
		time.Sleep(time.Second)
		c.worker(c.activeRuns(j)[0].Worker).Crash()
		c.awaitStatus(j.ID, work.Completed, maxLease+8*time.Second)
	})
}

// TestJobUnderAnotherKeyRunsOnce guards against a running job that starts a second time because another writer left its record under another key.
func TestJobUnderAnotherKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 4, platformFormat: true})
		defer c.close()
		jobs := c.fillCluster("key", "normal", 4*time.Second)
		for _, j := range jobs {
			r, _ := c.store.Newest(replica.TopicJobs, replica.JobKey(j.ID))
			c.store.Put(replica.TopicJobs, store.Record{Key: replica.JobKey("stray-" + j.ID), Value: r.Value})
		}
		c.awaitAll(jobs, 14*time.Second)
		c.checkSingleRuns(jobs...)
	})
}
