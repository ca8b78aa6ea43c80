package statetest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/logservice/logtest"
)

func jobRecord(id string) journal.Record {
	r, err := journal.NewRecord(journal.KindJobAccepted, "test", id, time.Now(), json.RawMessage(`{}`))
	if err != nil {
		panic(err)
	}
	return r
}

// TestLostResponsesApplyRecordsOnce guards against records that are lost, applied twice
// or applied in different orders on different hosts. The log refuses some appends, loses
// the responses to others, and applies others only after an error.
func TestLostResponsesApplyRecordsOnce(t *testing.T) {
	for seed := *seedFlag; seed < *seedFlag+5; seed++ {
		synctest.Test(t, func(t *testing.T) { runLostResponses(t, seed) })
	}
}

func runLostResponses(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 2)
	defer c.close()
	c.log.SetFaults(func(f *logtest.Faults) { f.LostResponse, f.LateAppend, f.RefusedAppend = 0.2, 0.1, 0.1 })
	c.log.SetFaults(func(f *logtest.Faults) { f.Latency = 200 * time.Millisecond })
	var mu sync.Mutex
	recorded, notRecorded := make(map[string]bool), make(map[string]bool)
	var wg sync.WaitGroup
	for i := range 400 {
		wg.Go(func() {
			id := fmt.Sprint("job-", i)
			time.Sleep(time.Duration(c.randFloat() * float64(20*time.Second)))
			timeout := time.Duration(c.randFloat() * float64(3*time.Second))
			_, err := c.host(i%8).journal.Append(contextWithTimeout(timeout), journal.StreamJobs, jobRecord(id))
			mu.Lock()
			defer mu.Unlock()
			recorded[id] = err == nil
			notRecorded[id] = errors.Is(err, journal.ErrNotRecorded)
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	applied := c.host(0).jobs.appliedIDs()
	seen := make(map[string]bool)
	for _, id := range applied {
		if seen[id] || notRecorded[id] {
			t.Errorf("seed %d: %s applied twice (%t) or after ErrNotRecorded (%t)", seed, id, seen[id], notRecorded[id])
		}
		seen[id] = true
	}
	for id, ok := range recorded {
		if ok && !seen[id] {
			t.Errorf("seed %d: %s was acknowledged but is not applied", seed, id)
		}
	}
	for i := range c.peers {
		if !slices.Equal(applied, c.host(i).jobs.appliedIDs()) {
			t.Errorf("seed %d: host %d applied the records in a different order", seed, i)
		}
	}
	logRecords := c.log.Len("jobs")
	t.Logf("seed %d: %d of 400 records applied, %d appends, %d records in the log", seed, len(applied), c.log.Counts().Appends, logRecords)
	if logRecords > len(applied)+c.log.Counts().LateRecords {
		t.Errorf("seed %d: the log holds %d copies of %d records, %d of them appended late: a record was appended again without checking the log first", seed, logRecords, len(applied), c.log.Counts().LateRecords)
	}
}

// TestAppendBatching guards against hosts that exceed the log's limits: under load, 8
// hosts must stay below 300 appends per second and 256 KB per append. Each record must
// be recorded within 0.2 s while the log is fast.
func TestAppendBatching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		begin, before := time.Now(), c.log.Counts().Appends
		large, _ := json.Marshal(strings.Repeat("x", 40<<10))
		var wg sync.WaitGroup
		for i := range 3000 {
			wg.Go(func() {
				r := jobRecord(fmt.Sprint("job-", i))
				if i%30 == 0 {
					r.Body = large
				} else {
					time.Sleep(time.Duration(c.randFloat() * float64(3*time.Second)))
				}
				if _, err := c.host(i%8).journal.Append(contextWithTimeout(200*time.Millisecond), journal.StreamJobs, r); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		elapsed, counts := time.Since(begin), c.log.Counts()
		appends := counts.Appends - before
		t.Logf("3000 records in %v: %d appends, at most %d bytes", elapsed, appends, counts.MaxAppendBytes)
		if float64(appends) > 300*elapsed.Seconds()+8*4 || counts.MaxAppendBytes > journal.MaxAppendBytes {
			t.Errorf("%d appends in %v, largest %d bytes", appends, elapsed, counts.MaxAppendBytes)
		}
	})
}

// TestLogOutage guards against a record that is appended after its caller was told
// that it is not recorded, against an outage that is detected late, and against a burst
// of appends at its end.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		h := c.host(0)
		c.log.SetFaults(func(f *logtest.Faults) { f.Down = true })
		time.Sleep(900 * time.Millisecond)
		if !h.journal.State().Reachable {
			t.Error("the log is reported unreachable after less than 1 s")
		}
		time.Sleep(700 * time.Millisecond)
		if h.journal.State().Reachable {
			t.Error("the log is still reported reachable after 1.6 s")
		}
		_, err := h.journal.Append(contextWithTimeout(time.Second), journal.StreamJobs, jobRecord("withdrawn"))
		if !errors.Is(err, journal.ErrNotRecorded) {
			t.Errorf("append while the log is down: %v", err)
		}
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				_, _ = c.host(i%8).journal.Append(contextWithTimeout(time.Minute), journal.StreamJobs, jobRecord(fmt.Sprint(i)))
			})
		}
		time.Sleep(time.Second)
		before, faultsEndedAt := c.log.Counts().Appends, time.Now()
		c.endFaults()
		if err := h.journal.Flush(contextWithTimeout(10 * time.Second)); err != nil {
			t.Error("flush:", err)
		}
		wg.Wait()
		if spread := c.log.Counts().LastAppend.Sub(faultsEndedAt); spread < 600*time.Millisecond || spread > 2*time.Second {
			t.Errorf("the last append of 8 hosts came %v after the outage, want about 1 s because of random delays", spread)
		}
		time.Sleep(100 * time.Millisecond)
		if got := c.log.Counts().Appends - before; got > 16 {
			t.Errorf("%d appends for 200 records after the outage, want at most 2 per host", got)
		}
		if applied := h.jobs.appliedIDs(); len(applied) != 200 || slices.Contains(applied, "withdrawn") {
			t.Errorf("%d records applied, the withdrawn one among them: %t", len(applied), slices.Contains(applied, "withdrawn"))
		}
	})
}

// TestCopiedRecordsSurviveOrigin guards against the loss of a record that was copied
// to peers when its host dies during a log outage: a peer must append it, and it must
// be applied once. The copies must be in two other zones.
func TestCopiedRecordsSurviveOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		c.log.SetFaults(func(f *logtest.Faults) { f.Down = true })
		time.Sleep(2 * time.Second)
		h := c.host(0)
		records := []journal.StreamRecord{{Stream: journal.StreamJobs, Record: jobRecord("copied")}}
		if got := h.members.CopyToPeers(context.Background(), records, 2); got != 2 {
			t.Fatalf("%d copies stored, want 2", got)
		}
		copiesByZone := make(map[model.Zone]int)
		for _, p := range c.peers {
			if c.hosts[p.Host].journal.Copies().Len() > 0 {
				copiesByZone[p.Zone]++
			}
		}
		if len(copiesByZone) != 2 || copiesByZone[h.Zone] > 0 {
			t.Errorf("copies in zones %v, want two other zones", copiesByZone)
		}
		c.kill(h.Host)
		c.endFaults()
		time.Sleep(10 * time.Second)
		if applied := c.host(1).jobs.appliedIDs(); !slices.Equal(applied, []string{"copied"}) {
			t.Errorf("applied %v, want the copied record once", applied)
		}
		for _, h := range c.hosts {
			if h.journal.Copies().Len() > 0 {
				t.Errorf("%s still holds a copy", h.Host)
			}
		}
	})
}
