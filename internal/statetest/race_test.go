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

// edit is one operator's Publish call in the history.
type edit struct {
	id   string
	base int64
}

// answer is what the operator was told: a version, a conflict, or nothing sure.
type answer struct {
	version int64
	code    apierror.Code
}

// history is the model's state: the version in force and the ids that made one.
type history struct {
	version int64
	made    string // ";id=version" for each accepted edit
}

// editModel says that an edit is accepted if its base is in force, once per id.
var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{history{version: 1}} },
	Step: func(state, input, output any) []any {
		h, in, out := state.(history), input.(edit), output.(answer)
		before, next := h, history{h.version + 1, fmt.Sprintf("%s;%s=%d", h.made, in.id, h.version+1)}
		repeated := strings.Contains(h.made, ";"+in.id+"=")
		possible := in.base == h.version && !repeated
		switch {
		case out.code == apierror.CodeUnknownOutcome && possible:
			return []any{before, next}
		case out.code == apierror.CodeUnknownOutcome, out.code == apierror.CodeLogUnavailable:
			return []any{before}
		case out.code == apierror.CodeVersionConflict && !possible && !repeated:
			return []any{before}
		case out.code == "" && repeated && strings.Contains(h.made+";", fmt.Sprintf(";%s=%d;", in.id, out.version)):
			return []any{before}
		case out.code == "" && possible && out.version == next.version:
			return []any{next}
		}
		return nil
	},
}

// operators records the calls of racing operators.
type operators struct {
	c   *cluster
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (o *operators) publish(client int, e edit) {
	n := o.c.node(int(o.c.rand() * 8))
	if n == nil {
		return
	}
	called := time.Now().UnixNano()
	version, err := n.sync.Publish(within(4*time.Second), e.id, e.base, textOf(e.id))
	out := answer{version: version, code: codeOf(err)}
	returned := time.Now().UnixNano()
	if out.code == apierror.CodeUnknownOutcome {
		returned = time.Now().Add(time.Hour).UnixNano() // it may be accepted any time later
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ops = append(o.ops, porcupine.Operation{ClientId: client, Input: e, Output: out, Call: called, Return: returned})
}

// run publishes on the version that a random host has; now and then it repeats its
// last edit or its id at another host, or names a version that is not in force.
func (o *operators) run(client int, rng *rand.Rand) {
	var last edit
	for i := range 14 {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		n := o.c.node(rng.IntN(8))
		if n == nil {
			continue
		}
		e := edit{fmt.Sprintf("op%d-%d", client, i), n.sync.ConfigVersion()}
		switch p := rng.IntN(10); {
		case p < 2 && last.id != "":
			e = last
		case p < 3 && last.id != "":
			e.id = last.id
		case p < 4:
			e.base += int64(rng.IntN(3)) - 1
		}
		o.publish(client, e)
		last = e
	}
}

// Guards D5: of racing edits exactly one is accepted, the same one at every host, an
// id is accepted once, and "not run" stays true, while append answers are lost or
// late, the log fails for seconds, hosts cannot reach it, and hosts restart empty
// after the first records are gone.
func TestRacingOperators(t *testing.T) {
	for i := range max(4, *roundsFlag/2) {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { racingRound(t, seed) })
		})
	}
}

func racingRound(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 2)
	defer c.close()
	c.publishFirst()
	c.log.SetFaults(func(f *logtest.Faults) { f.LostResponse, f.LateAppend, f.RefusedAppend = 0.15, 0.15, 0.1 })
	o := &operators{c: c}
	var wg sync.WaitGroup
	for client := range 5 {
		wg.Go(func() { o.run(client, rand.New(rand.NewPCG(seed, uint64(10+client)))) })
	}
	wg.Go(func() { disturb(c, rand.New(rand.NewPCG(seed, 4))) })
	wg.Wait()
	c.heal()
	time.Sleep(10 * time.Second)
	if !c.everywhere(c.node(0).sync.ConfigVersion()) {
		t.Errorf("seed %d: the hosts have different versions", seed)
	}
	counts := make(map[apierror.Code]int)
	for _, op := range o.ops {
		counts[op.Output.(answer).code]++
	}
	if !porcupine.CheckOperations(editModel.ToModel(), o.ops) {
		t.Errorf("seed %d: the history of %d edits has no valid order", seed, len(o.ops))
	}
	t.Logf("seed %d: version %d, answers %v", seed, c.node(0).sync.ConfigVersion(), counts)
}

func disturb(c *cluster, rng *rand.Rand) {
	for range 5 {
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		switch rng.IntN(4) {
		case 0:
			c.log.SetFaults(func(f *logtest.Faults) { f.Down = true })
		case 1:
			c.log.SetFaults(func(f *logtest.Faults) { f.Unresponsive = true })
		case 2:
			c.cutLog(zoneNames[rng.IntN(len(zoneNames))])
		case 3:
			p := c.peers[rng.IntN(len(c.peers))]
			c.kill(p.Host)
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			c.start(p)
		}
		time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
		c.heal()
	}
}
