package emulator

import (
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// leaseCall is an acquisition, or a renewal with a token when token is not 0.
type leaseCall struct{ token model.FencingToken }

// leaseResult is the new token of an acquisition, or whether a renewal was obeyed.
type leaseResult struct {
	token  model.FencingToken
	obeyed bool
}

// leaseModel is a worker's lease as a register that holds the current token.
var leaseModel = porcupine.Model{
	Init: func() any { return model.FencingToken(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(model.FencingToken), input.(leaseCall), output.(leaseResult)
		if in.token == 0 {
			return out.token > current, out.token
		}
		return out.obeyed == (in.token == current), current
	},
}

// TestLeaseHistory guards against a worker that obeys two holders at once: the
// history of concurrent acquisitions and renewals must be linearizable.
func TestLeaseHistory(t *testing.T) {
	b := newBench(t)
	var mu sync.Mutex
	var history []porcupine.Operation
	var all sync.WaitGroup
	for client := range 4 {
		random := rand.New(rand.NewPCG(1, uint64(client)))
		all.Go(func() {
			token := model.FencingToken(0)
			for range 100 {
				if random.IntN(4) == 0 {
					token = 0
				}
				in := leaseCall{token: token}
				call := time.Now().UnixNano()
				out, err := b.lease(in)
				if err != nil {
					t.Error(err)
					return
				}
				token = max(token, out.token)
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: in, Output: out, Call: call, Return: time.Now().UnixNano(),
				})
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if got := porcupine.CheckOperationsTimeout(leaseModel, history, time.Minute); got != porcupine.Ok {
		t.Errorf("the history of %d calls is %s", len(history), got)
	}
}

// lease makes one call of the history.
func (b *bench) lease(in leaseCall) (leaseResult, error) {
	if in.token == 0 {
		request := workerlink.AcquireRequest{Holder: "quimper-1", TTLMS: 30_000, Force: true}
		answer, err := b.worker.Acquire(b.t.Context(), request)
		return leaseResult{token: answer.Token}, err
	}
	_, err := b.worker.Renew(b.t.Context(), workerlink.RenewRequest{Token: in.token, TTLMS: 30_000})
	var refused *workerlink.Error
	if errors.As(err, &refused) && refused.Body.Code == workerlink.CodeFenced {
		return leaseResult{}, nil
	}
	return leaseResult{obeyed: err == nil}, err
}
