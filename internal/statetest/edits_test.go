package statetest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/platform/logservice/logtest"
)

// publishCall is the input of an operator's Publish call in the history.
type publishCall struct {
	id   string
	base int64
}

// publishResult is the result of a Publish call: the accepted version, or the code of
// the error.
type publishResult struct {
	version int64
	code    apierror.Code
}

// editState is the state of the model: the version in force and the accepted edits.
type editState struct {
	version  int64
	accepted string // ";id=version" for each edit
}

// editModel accepts an edit if its base version is in force and its ID was not accepted
// before. A repeated ID gets the version of the accepted edit.
var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{editState{version: 1}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(editState), input.(publishCall), output.(publishResult)
		before, next := s, editState{s.version + 1, fmt.Sprintf("%s;%s=%d", s.accepted, in.id, s.version+1)}
		repeated := strings.Contains(s.accepted, ";"+in.id+"=")
		possible := in.base == s.version && !repeated
		switch {
		case out.code == apierror.CodeUnknownOutcome && possible:
			return []any{before, next}
		case out.code == apierror.CodeUnknownOutcome, out.code == apierror.CodeLogUnavailable:
			return []any{before}
		case out.code == apierror.CodeVersionConflict && !possible && !repeated:
			return []any{before}
		case out.code == "" && repeated && strings.Contains(s.accepted+";", fmt.Sprintf(";%s=%d;", in.id, out.version)):
			return []any{before}
		case out.code == "" && possible && out.version == next.version:
			return []any{next}
		}
		return nil
	},
}

// concurrentOperators records the Publish calls of concurrent operators.
type concurrentOperators struct {
	cluster *cluster
	mu      sync.Mutex
	history []porcupine.Operation
}

func (o *concurrentOperators) publish(client int, call publishCall) {
	h := o.cluster.host(int(o.cluster.randFloat() * 8))
	if h == nil {
		return
	}
	called := time.Now().UnixNano()
	version, err := h.sync.Publish(contextWithTimeout(4*time.Second), call.id, call.base, configText(call.id))
	result := publishResult{version: version, code: errorCode(err)}
	returned := time.Now().UnixNano()
	if result.code == apierror.CodeUnknownOutcome {
		returned = time.Now().Add(time.Hour).UnixNano() // the edit may still be accepted at any time
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{ClientId: client, Input: call, Output: result, Call: called, Return: returned})
}

// runOperator publishes edits that are based on the version of a random host. Some
// edits repeat the last edit or its ID at another host, or name a base version that is
// not in force.
func (o *concurrentOperators) runOperator(client int, rng *rand.Rand) {
	var last publishCall
	for i := range 14 {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		h := o.cluster.host(rng.IntN(8))
		if h == nil {
			continue
		}
		call := publishCall{fmt.Sprintf("op%d-%d", client, i), h.sync.ConfigVersion()}
		switch p := rng.IntN(10); {
		case p < 2 && last.id != "":
			call = last
		case p < 3 && last.id != "":
			call.id = last.id
		case p < 4:
			call.base += int64(rng.IntN(3)) - 1
		}
		o.publish(client, call)
		last = call
	}
}

// TestConcurrentEdits guards the publishing of edits by concurrent operators: exactly
// one edit of a version is accepted, the same one on all hosts, an id is accepted once,
// and an edit that was answered with not_run is never accepted. Meanwhile, responses to
// appends are lost, appends take effect late, the log fails for seconds or is
// unreachable for some hosts, and hosts restart with empty memory after the first
// records have expired.
func TestConcurrentEdits(t *testing.T) {
	for i := range max(4, *roundsFlag/2) {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runConcurrentEdits(t, seed) })
		})
	}
}

func runConcurrentEdits(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 2)
	defer c.close()
	c.publishFirstVersion()
	c.log.SetFaults(func(f *logtest.Faults) { f.LostResponse, f.LateAppend, f.RefusedAppend = 0.15, 0.15, 0.1 })
	o := &concurrentOperators{cluster: c}
	var wg sync.WaitGroup
	for client := range 5 {
		wg.Go(func() { o.runOperator(client, rand.New(rand.NewPCG(seed, uint64(10+client)))) })
	}
	wg.Go(func() { injectFaults(c, rand.New(rand.NewPCG(seed, 4))) })
	wg.Wait()
	c.endFaults()
	time.Sleep(10 * time.Second)
	if !c.inForceEverywhere(c.host(0).sync.ConfigVersion()) {
		t.Errorf("seed %d: the hosts have different versions", seed)
	}
	counts := make(map[apierror.Code]int)
	for _, op := range o.history {
		counts[op.Output.(publishResult).code]++
	}
	if !porcupine.CheckOperations(editModel.ToModel(), o.history) {
		t.Errorf("seed %d: the history of %d edits is not linearizable", seed, len(o.history))
	}
	t.Logf("seed %d: version %d, answers %v", seed, c.host(0).sync.ConfigVersion(), counts)
}

// injectFaults injects five faults of the log or a host, one after the other.
func injectFaults(c *cluster, rng *rand.Rand) {
	for range 5 {
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		switch rng.IntN(4) {
		case 0:
			c.log.SetFaults(func(f *logtest.Faults) { f.Down = true })
		case 1:
			c.log.SetFaults(func(f *logtest.Faults) { f.Unresponsive = true })
		case 2:
			c.disconnectLog(zoneNames[rng.IntN(len(zoneNames))])
		case 3:
			p := c.peers[rng.IntN(len(c.peers))]
			c.kill(p.Host)
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			c.start(p)
		}
		time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
		c.endFaults()
	}
}
