package shard

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// leaseCall is one call to a worker as the calling host observed it.
type leaseCall struct {
	path  string
	token model.FencingToken // in the request; for an acquisition, in the answer
	code  workerlink.Code
}

// leaseState is the state of a worker's lease in leaseModel.
type leaseState struct {
	token model.FencingToken
	held  bool
}

// leaseModel defines which answers a worker may give: it accepts a token only if the token
// is that of the last answered acquisition and the lease was not released. Unanswered
// acquisitions are not in the history, because the search over dozens of calls with unknown
// effects would not end. The model therefore allows a token to increase by more than one
// and a call to be rejected at any time.
var leaseModel = porcupine.Model{
	Init: func() any { return leaseState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, c := state.(leaseState), input.(leaseCall)
		current := s.held && c.token == s.token
		switch {
		case c.path == workerlink.PathAcquire:
			return c.token > s.token, leaseState{token: c.token, held: true}
		case c.code == workerlink.CodeFenced:
			return true, s
		case c.path == workerlink.PathRelease:
			return current, leaseState{token: s.token}
		default:
			return current, s
		}
	},
}

// leaseHistory holds the answered calls of all hosts by worker.
type leaseHistory struct {
	mu  sync.Mutex
	ops map[string][]porcupine.Operation
}

// record sends a call and records it if it was answered. It does not record renewals, which
// take effect twice: when they arrive and when they are answered.
func (h *leaseHistory) record(client int, r *http.Request, send func() (*http.Response, error)) (*http.Response, error) {
	body, err := readBody(&r.Body)
	if err != nil {
		return nil, err
	}
	begin := time.Now().UnixNano()
	resp, err := send()
	name := "/" + path.Base(r.URL.Path)
	if name == workerlink.PathRenew {
		return resp, err
	}
	if err != nil {
		return resp, err
	}
	answer, err := readBody(&resp.Body)
	if err != nil {
		return nil, err
	}
	var call, reply struct {
		Token model.FencingToken `json:"token"`
		Code  workerlink.Code    `json:"code"`
	}
	if json.Unmarshal(body, &call) != nil || json.Unmarshal(answer, &reply) != nil {
		return resp, nil
	}
	c := leaseCall{path: name, token: call.Token, code: reply.Code}
	if name == workerlink.PathAcquire {
		c.token = reply.Token
	}
	h.add(path.Dir(r.URL.Path), porcupine.Operation{
		ClientId: client, Input: c, Call: begin, Return: time.Now().UnixNano(),
	})
	return resp, nil
}

func (h *leaseHistory) add(worker string, op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops[worker] = append(h.ops[worker], op)
}

// readBody reads a body and replaces it with a new reader of the same data.
func readBody(body *io.ReadCloser) ([]byte, error) {
	if *body == nil {
		return nil, nil
	}
	data, err := io.ReadAll(*body)
	*body = io.NopCloser(bytes.NewReader(data))
	return data, err
}

// check fails the test if a worker's history is not linearizable under leaseModel.
func (h *leaseHistory) check(t *testing.T) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for worker, ops := range h.ops {
		if !porcupine.CheckOperations(leaseModel, ops) {
			t.Errorf("the calls to %s are not linearizable under the lease model: %+v", worker, ops)
		}
	}
}
