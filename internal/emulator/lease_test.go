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

// leaseInput is a renewal with the token, or an acquisition if the token is 0.
type leaseInput struct{ token model.FencingToken }

// leaseOutput is the token of an acquisition, or whether a renewal was accepted.
type leaseOutput struct {
	token    model.FencingToken
	accepted bool
}

// leaseModel models the lease of a worker as a register with the current token.
var leaseModel = porcupine.Model{
	Init: func() any { return model.FencingToken(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(model.FencingToken), input.(leaseInput), output.(leaseOutput)
		if in.token == 0 {
			return out.token > current, out.token
		}
		return out.accepted == (in.token == current), current
	},
}

// TestLeaseIsLinearizable guards against a worker that accepts calls of two holders at
// once: the history of concurrent acquisitions and renewals must be linearizable.
func TestLeaseIsLinearizable(t *testing.T) {
	f := newWorkerFixture(t)
	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	for client := range 4 {
		rng := rand.New(rand.NewPCG(1, uint64(client)))
		clients.Go(func() {
			token := model.FencingToken(0)
			for range 100 {
				if rng.IntN(4) == 0 {
					token = 0
				}
				input := leaseInput{token: token}
				call := time.Now().UnixNano()
				output, err := f.callLease(input)
				if err != nil {
					t.Error(err)
					return
				}
				token = max(token, output.token)
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: input, Output: output, Call: call, Return: time.Now().UnixNano(),
				})
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	if got := porcupine.CheckOperationsTimeout(leaseModel, history, time.Minute); got != porcupine.Ok {
		t.Errorf("linearizability check of %d calls: %s", len(history), got)
	}
}

// callLease acquires or renews the lease of the worker.
func (f *workerFixture) callLease(input leaseInput) (leaseOutput, error) {
	if input.token == 0 {
		request := workerlink.AcquireRequest{Holder: "quimper-1", TTLMS: 30_000, Force: true}
		response, err := f.worker.Acquire(f.t.Context(), request)
		return leaseOutput{token: response.Token}, err
	}
	_, err := f.worker.Renew(f.t.Context(), workerlink.RenewRequest{Token: input.token, TTLMS: 30_000})
	var workerError *workerlink.Error
	if errors.As(err, &workerError) && workerError.Body.Code == workerlink.CodeFenced {
		return leaseOutput{}, nil
	}
	return leaseOutput{accepted: err == nil}, err
}
