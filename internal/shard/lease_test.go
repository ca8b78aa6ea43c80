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

// leaseCall is one call to a worker as its host saw it.
type leaseCall struct {
	path  string
	token model.FencingToken // of the call; for an acquisition, of the answer
	code  workerlink.Code
}

// leaseState is a worker's lease.
type leaseState struct {
	token model.FencingToken
	held  bool
}

// leaseModel says which answers a worker may give: it accepts a token only while
// that is the one of its last answered acquisition and the lease was not released.
// Unanswered acquisitions are not in the history, because a search over dozens of
// calls of unknown effect does not end; a token may therefore rise by more than one,
// and a refusal is always possible.
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

// leaseHistory records the answered calls of all hosts to each worker.
type leaseHistory struct {
	mu  sync.Mutex
	ops map[string][]porcupine.Operation
}

// record sends a call and notes it if it was answered. A renewal is left out: it
// takes effect at two moments, when it arrives and when it is answered.
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

// readBody reads a body and puts an equal one in its place.
func readBody(body *io.ReadCloser) ([]byte, error) {
	if *body == nil {
		return nil, nil
	}
	data, err := io.ReadAll(*body)
	*body = io.NopCloser(bytes.NewReader(data))
	return data, err
}

// check fails the test if a worker's history does not fit the model.
func (h *leaseHistory) check(t *testing.T) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for worker, ops := range h.ops {
		if !porcupine.CheckOperations(leaseModel, ops) {
			t.Errorf("the calls to %s do not fit its lease: %+v", worker, ops)
		}
	}
}
