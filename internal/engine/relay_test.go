package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// cutOff are the ways in which a host alone loses the store.
var cutOff = map[string]standin.StoreFaults{
	"refused": {Refuse: true}, "silent": {Down: true}, "answers are lost": {LostRate: 1}, "appends are late": {LateRate: 1},
}

// relayTest runs f with four hosts that relay calls and returns the one that is to be cut off,
// which is not the owner.
func relayTest(t *testing.T, f func(t *testing.T, c *cluster, cut *testHost)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 4, workers: 6, relay: true})
		defer c.close()
		for _, h := range c.hosts {
			if !h.IsOwner() {
				f(t, c, h)
				return
			}
		}
	})
}

// submitAt submits a job of one task of a second at a host.
func (c *cluster) submitAt(h *testHost, id int) (work.Job, intake.Answer, time.Duration) {
	j := newJob(id, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 1000})
	j.MaxAttempts = 3
	c.fleet.RegisterJob(&j, func(int, int) standin.Behaviour { return standin.Behaviour{Work: time.Second} })
	start := time.Now()
	a := h.Intake.Submit(c.t.Context(), newCall("/urgent/"+j.ID), j)
	return j, a, time.Since(start)
}

// TestHostWithoutStoreServesThroughPeers guards against callers that are refused or wait because
// their host alone has lost the store, and against a job that runs twice after its own host's
// append was executed late or without an answer.
func TestHostWithoutStoreServesThroughPeers(t *testing.T) {
	for name, faults := range cutOff {
		t.Run(name, func(t *testing.T) {
			relayTest(t, func(t *testing.T, c *cluster, cut *testHost) {
				c.store.SetHostFaults(cut.name, faults)
				j, a, took := c.submitAt(cut, 1)
				if a.Outcome != intake.OK || took > 500*time.Millisecond {
					t.Errorf("the submission returned %s (%s) after %s", a.Outcome, a.Reason, took)
				}
				time.Sleep(1500 * time.Millisecond)
				if a := cut.Intake.Status(t.Context(), newCall("/urgent/"+j.ID), j.ID); a.Status != work.Completed {
					t.Errorf("a job of 1 s is shown as %q after 1.5 s (%s)", a.Status, a.Outcome)
				}
				time.Sleep(6 * time.Second) // late appends are executed; keys are no longer accepted without a peer
				if _, refused := cut.Intake.Admit(newCall("/urgent/")); refused != nil {
					t.Errorf("after 7.5 s, the header of a submission is refused: %s", refused.Reason)
				}
				second, a, _ := c.submitAt(cut, 2)
				if a.Outcome != intake.OK {
					t.Errorf("after 7.5 s, a submission returned %s (%s)", a.Outcome, a.Reason)
				}
				if a := cut.Intake.Cancel(t.Context(), newCall("/urgent/"+second.ID), second.ID); a.Outcome != intake.OK {
					t.Errorf("the cancellation returned %s (%s)", a.Outcome, a.Reason)
				}
				if a := cut.Intake.CountWaiting(t.Context(), newCall("/urgent/")); a.Outcome != intake.OK {
					t.Errorf("the count returned %s (%s)", a.Outcome, a.Reason)
				}
				c.store.SetHostFaults(cut.name, standin.StoreFaults{})
				c.awaitStatus(second.ID, work.Cancelled, 10*time.Second)
				time.Sleep(10 * time.Second)
				if n := c.fleet.Ledger().Count("done"); n != 1 {
					t.Errorf("%d tasks were done instead of one", n)
				}
			})
		})
	}
}

// TestPeersThatFailDuringACall guards against a call that is lost with the peer that it was
// passed to, and against a refusal of a call that this peer may have executed.
func TestPeersThatFailDuringACall(t *testing.T) {
	for _, fault := range []peerFault{peerGone, peerSilent, peerAnswerLost, peerExecutesLate} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			relayTest(t, func(t *testing.T, c *cluster, cut *testHost) {
				c.store.SetHostFaults(cut.name, standin.StoreFaults{Refuse: true})
				others := 0
				for name := range c.hosts {
					if name != cut.name && others < 2 {
						c.peers.setFault(name, fault)
						others++
					}
				}
				if _, a, took := c.submitAt(cut, 1); a.Outcome != intake.OK || took > callerTimeout {
					t.Errorf("with one sound peer, the submission returned %s (%s) after %s", a.Outcome, a.Reason, took)
				}
				time.Sleep(2 * time.Minute) // the peers are asked again
				for name := range c.hosts {
					c.peers.setFault(name, fault)
				}
				want := intake.Unknown
				if fault == peerGone {
					want = intake.TryLater
				}
				if _, a, took := c.submitAt(cut, 2); a.Outcome != want || took > callerTimeout {
					t.Errorf("without a sound peer, the submission returned %s (%s) after %s, want %s", a.Outcome, a.Reason, took, want)
				}
			})
		})
	}
}

// TestStoreDownForAll guards against hosts that pass calls around while none of them has the
// store.
func TestStoreDownForAll(t *testing.T) {
	relayTest(t, func(t *testing.T, c *cluster, cut *testHost) {
		c.store.SetFaults(standin.StoreFaults{Refuse: true})
		time.Sleep(time.Second)
		const calls = 100
		for i := range calls {
			if _, a, _ := c.submitAt(cut, 1+i); a.Outcome != intake.TryLater {
				t.Fatalf("the submission returned %s (%s)", a.Outcome, a.Reason)
			}
		}
		if n := c.peers.callCount(); n > 12 {
			t.Errorf("%d calls to peers for %d submissions within half a second", n, calls)
		}
	})
}

// TestRelayedCallsUseThePeersManifest guards against a withdrawn key that is accepted through a
// peer, and against a host that goes back to an older manifest than its callers have seen.
func TestRelayedCallsUseThePeersManifest(t *testing.T) {
	relayTest(t, func(t *testing.T, c *cluster, cut *testHost) {
		c.store.SetHostFaults(cut.name, standin.StoreFaults{Refuse: true})
		time.Sleep(time.Second)
		m := defaultManifest()
		m.Organisations[1].Keys = nil
		m.Queues[3].PathPrefix = "/new/"
		c.publishManifest(m)
		time.Sleep(100 * time.Millisecond)
		call := newCall("/urgent/")
		call.Key = "guest-key"
		if a := cut.Intake.CountWaiting(t.Context(), call); a.Outcome != intake.BadKey {
			t.Errorf("a withdrawn key returned %s (%s)", a.Outcome, a.Reason)
		}
		if a := cut.Intake.CountWaiting(t.Context(), newCall("/new/")); a.Outcome != intake.OK {
			t.Errorf("a new queue returned %s (%s)", a.Outcome, a.Reason)
		}
		for name := range c.hosts {
			c.peers.setFault(name, peerGone)
		}
		if a := cut.Intake.CountWaiting(t.Context(), newCall("/new/")); a.Outcome != intake.TryLater {
			t.Errorf("the new queue returned %s (%s) without a peer", a.Outcome, a.Reason)
		}
	})
}

// TestPeerWithAnOlderManifest guards against an answer of a peer whose manifest is older than the
// one that the callers of the host have seen.
func TestPeerWithAnOlderManifest(t *testing.T) {
	relayTest(t, func(t *testing.T, c *cluster, host *testHost) {
		call := newCall("/urgent/")
		call.Relayed, call.MinManifest = true, c.manifestVersion+1
		if a := host.Intake.CountWaiting(t.Context(), call); a.Outcome != intake.TryLater {
			t.Errorf("got %s (%s)", a.Outcome, a.Reason)
		}
	})
}

// TestHostRecords guards against hosts that write their records again without need, and against
// one that nobody finds after its record was lost.
func TestHostRecords(t *testing.T) {
	relayTest(t, func(t *testing.T, c *cluster, host *testHost) {
		key := "h/" + host.name
		first, ok := c.store.Newest(replica.TopicStatuses, key)
		if !ok {
			t.Fatal("the host is not registered")
		}
		name := host.name
		c.crash(name)
		c.addHost(name)
		time.Sleep(time.Minute)
		if second, _ := c.store.Newest(replica.TopicStatuses, key); second.Offset != first.Offset {
			t.Error("the record was written again after a restart at the same address")
		}
		c.store.Put(replica.TopicStatuses, store.Record{Key: key, Value: []byte("damaged")})
		time.Sleep(time.Minute)
		if p, _ := c.store.Newest(replica.TopicStatuses, key); string(p.Value) == "damaged" {
			t.Error("a damaged record was not replaced")
		}
	})
}
