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

// Guards against records that are applied twice, lost or applied in another order
// at another host when append answers are lost, come late or are refused.
func TestLostAnswersApplyOnce(t *testing.T) {
	for seed := *seedFlag; seed < *seedFlag+5; seed++ {
		synctest.Test(t, func(t *testing.T) { lostAnswersRound(t, seed) })
	}
}

func lostAnswersRound(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 2)
	defer c.close()
	c.log.SetFaults(func(f *logtest.Faults) { f.LostResponse, f.LateAppend, f.RefusedAppend = 0.2, 0.1, 0.1 })
	c.log.SetFaults(func(f *logtest.Faults) { f.Latency = 200 * time.Millisecond })
	var mu sync.Mutex
	recorded, refused := make(map[string]bool), make(map[string]bool)
	var wg sync.WaitGroup
	for i := range 400 {
		wg.Go(func() {
			id := fmt.Sprint("job-", i)
			time.Sleep(time.Duration(c.rand() * float64(20*time.Second)))
			limit := time.Duration(c.rand() * float64(3*time.Second))
			_, err := c.node(i%8).journal.Append(within(limit), journal.StreamJobs, jobRecord(id))
			mu.Lock()
			defer mu.Unlock()
			recorded[id] = err == nil
			refused[id] = errors.Is(err, journal.ErrNotRecorded)
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	all := c.node(0).jobs.list()
	seen := make(map[string]bool)
	for _, id := range all {
		if seen[id] || refused[id] {
			t.Errorf("seed %d: %s applied twice (%t) or after ErrNotRecorded (%t)", seed, id, seen[id], refused[id])
		}
		seen[id] = true
	}
	for id, ok := range recorded {
		if ok && !seen[id] {
			t.Errorf("seed %d: %s was answered but is not applied", seed, id)
		}
	}
	for i := range c.peers {
		if !slices.Equal(all, c.node(i).jobs.list()) {
			t.Errorf("seed %d: host %d applied another order", seed, i)
		}
	}
	copies := c.log.Len("jobs")
	t.Logf("seed %d: %d of 400 records in %d appends, copies in the log %d", seed, len(all), c.log.Counts().Appends, copies)
	if copies > len(all)+c.log.Counts().LateRecords {
		t.Errorf("seed %d: %d copies of %d records, %d came late: a lost answer was not looked up", seed, copies, len(all), c.log.Counts().LateRecords)
	}
}

// Guards the log budget (D7): 8 hosts under load stay below 300 appends per second
// and 256 KB an append, and records wait for less than 0.2 s on a fast log.
func TestAppendsShareBatches(t *testing.T) {
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
					time.Sleep(time.Duration(c.rand() * float64(3*time.Second)))
				}
				if _, err := c.node(i%8).journal.Append(within(200*time.Millisecond), journal.StreamJobs, r); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		took, counts := time.Since(begin), c.log.Counts()
		appends := counts.Appends - before
		t.Logf("3000 records in %v: %d appends, at most %d bytes", took, appends, counts.MaxAppendBytes)
		if float64(appends) > 300*took.Seconds()+8*4 || counts.MaxAppendBytes > journal.MaxAppendBytes {
			t.Errorf("%d appends in %v, largest %d bytes", appends, took, counts.MaxAppendBytes)
		}
	})
}

// Guards against a record that is sent after its caller was told that it never will
// be, and against an outage that is noticed late or ends in a burst.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		n := c.node(0)
		c.log.SetFaults(func(f *logtest.Faults) { f.Down = true })
		time.Sleep(900 * time.Millisecond)
		if !n.journal.State().Reachable {
			t.Error("unreachable after less than 1 s")
		}
		time.Sleep(700 * time.Millisecond)
		if n.journal.State().Reachable {
			t.Error("still reachable after 1.6 s")
		}
		_, err := n.journal.Append(within(time.Second), journal.StreamJobs, jobRecord("withdrawn"))
		if !errors.Is(err, journal.ErrNotRecorded) {
			t.Errorf("append while the log is down: %v", err)
		}
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				_, _ = c.node(i%8).journal.Append(within(time.Minute), journal.StreamJobs, jobRecord(fmt.Sprint(i)))
			})
		}
		time.Sleep(time.Second)
		before, healed := c.log.Counts().Appends, time.Now()
		c.heal()
		if err := n.journal.Flush(within(10 * time.Second)); err != nil {
			t.Error("flush:", err)
		}
		wg.Wait()
		if spread := c.log.Counts().LastAppend.Sub(healed); spread < 600*time.Millisecond || spread > 2*time.Second {
			t.Errorf("the appends of 8 hosts after the outage end after %v, want about 1 s of random waits", spread)
		}
		time.Sleep(100 * time.Millisecond)
		if got := c.log.Counts().Appends - before; got > 16 {
			t.Errorf("%d appends for 200 records after the outage, want at most 2 a host", got)
		}
		if all := n.jobs.list(); len(all) != 200 || slices.Contains(all, "withdrawn") {
			t.Errorf("%d records applied, the withdrawn one among them: %t", len(all), slices.Contains(all, "withdrawn"))
		}
	})
}

// Guards D6: a record that was copied to peers reaches the log after its origin died
// during the outage, once, and the copies prefer different other zones.
func TestCopiesOutliveTheirOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		c.log.SetFaults(func(f *logtest.Faults) { f.Down = true })
		time.Sleep(2 * time.Second)
		n := c.node(0)
		records := []journal.StreamRecord{{Stream: journal.StreamJobs, Record: jobRecord("copied")}}
		if got := n.members.CopyToPeers(context.Background(), records, 2); got != 2 {
			t.Fatalf("%d copies stored, want 2", got)
		}
		holders := make(map[model.Zone]int)
		for _, p := range c.peers {
			if c.nodes[p.Host].journal.Copies().Len() > 0 {
				holders[p.Zone]++
			}
		}
		if len(holders) != 2 || holders[n.Zone] > 0 {
			t.Errorf("copies in zones %v, want two other zones", holders)
		}
		c.kill(n.Host)
		c.heal()
		time.Sleep(10 * time.Second)
		if all := c.node(1).jobs.list(); !slices.Equal(all, []string{"copied"}) {
			t.Errorf("applied %v, want the copied record once", all)
		}
		for _, n := range c.nodes {
			if n.journal.Copies().Len() > 0 {
				t.Errorf("%s still holds a copy", n.Host)
			}
		}
	})
}
