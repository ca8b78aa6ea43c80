package calls

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/model"
)

const (
	// outcomeRetention is how long responses and outcomes are kept.
	outcomeRetention = 10 * time.Minute
	// maxEntries limits the requests in the table of one host. A host has 32 MB of
	// memory; 20,000 entries of about 300 bytes leave room for the response bodies.
	maxEntries = 20_000
	// maxEntryBodyBytes limits the response bodies that one host keeps; the oldest are
	// evicted first.
	maxEntryBodyBytes = 4 << 20
)

// requestKey identifies a request: ids are unique only within an organisation.
type requestKey struct {
	org model.Organisation
	id  string
}

// result is the result of a request: a response or an error.
type result struct {
	response Response
	err      *apierror.Error
	// final is set if the result also applies to every later submission with the same id.
	final bool
}

// requestEntry is the entry of one request in the request table. An entry that only
// records the promise to another host not to send the request is called a promise; its
// done channel is nil.
type requestEntry struct {
	key     requestKey
	digest  digest
	service model.Service // empty in a promise for an id that was not submitted here
	done    chan struct{} // closed when result is set; nil in a promise

	// The following fields are guarded by requestTable.mu.
	cancel     context.CancelFunc
	repeatable bool
	intentID   string // unique id of this run's intent, set before the intent is appended
	// willNotSend is set when this host has not sent the request and never will. It is
	// kept as a promise after the run ends, because other hosts may rely on it.
	willNotSend bool
	callers     int // number of callers that wait for the result
	result      result
	expires     time.Time
	element     *list.Element
}

// requestTable holds the requests that were submitted to this host and its promises to
// other hosts.
type requestTable struct {
	mu        sync.Mutex
	byKey     map[requestKey]*requestEntry
	finished  list.List // of *requestEntry, ended or promises, by time of expiry
	bodyBytes int
}

func newRequestTable() *requestTable { return &requestTable{byKey: map[requestKey]*requestEntry{}} }

// join returns the entry of the request and adds a caller to it. mustRun is true for the
// caller that must run the request. join returns an error for an id that was used with
// another body or service, and when the table is full.
func (t *requestTable) join(now time.Time, p *preparedRequest) (e *requestEntry, mustRun bool, err *apierror.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	existing := t.byKey[p.key]
	if existing != nil && existing.service != "" && (existing.digest != p.digest || existing.service != p.req.Service) {
		return nil, false, idReusedError(p.key.id)
	}
	if existing != nil && existing.done != nil {
		existing.callers++
		return existing, false, nil
	}
	if existing == nil && !t.makeRoom() {
		return nil, false, apierror.NotRun(apierror.CodeOverloaded, "this host already stores %d requests, the maximum", maxEntries)
	}
	e = &requestEntry{key: p.key, digest: p.digest, service: p.req.Service, done: make(chan struct{})}
	e.repeatable = p.service.repeatable
	e.callers = 1
	if existing != nil {
		t.remove(existing)
		e.willNotSend, e.intentID = true, existing.intentID
	}
	t.byKey[p.key] = e
	return e, true, nil
}

func idReusedError(id string) *apierror.Error {
	return apierror.NotRun(apierror.CodeIDReused, "request id %s was used with another body or service", id)
}

func alreadyRefusedError(id string) *apierror.Error {
	return apierror.NotRun(apierror.CodeIDReused, "request %s was refused before and will not run; use a new id", id)
}

// setCancel sets the function that stops the run when no caller waits for it.
func (t *requestTable) setCancel(e *requestEntry, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.cancel = cancel
}

// result returns the result of a finished entry.
func (t *requestTable) result(e *requestEntry) result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.result
}

// setWillNotSend records that this host will not send the request. e may be nil.
func (t *requestTable) setWillNotSend(e *requestEntry) {
	if e == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e.willNotSend = true
}

// willNotSend reports whether this host must not send the request.
func (t *requestTable) willNotSend(e *requestEntry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.willNotSend
}

// intentID returns the unique id of the run's intent, or "" if it has none.
func (t *requestTable) intentID(e *requestEntry) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.intentID
}

// setIntentID sets the unique id of the run's intent. It is called before the append.
func (t *requestTable) setIntentID(e *requestEntry, uniqueID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.intentID = uniqueID
}

// finish stores the result and wakes the callers. An entry whose result is not final is
// removed, or replaced by a promise if the request will not be sent.
func (t *requestTable) finish(now time.Time, e *requestEntry, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.result = res
	close(e.done)
	switch {
	case res.final:
	case e.willNotSend:
		e = &requestEntry{key: e.key, digest: e.digest, service: e.service, intentID: e.intentID, willNotSend: true}
		t.byKey[e.key] = e
	default:
		delete(t.byKey, e.key)
		return
	}
	t.scheduleExpiry(now, e)
	t.bodyBytes += len(e.result.response.Body)
	t.evictBodies()
}

// scheduleExpiry starts the retention of a finished entry or a promise.
func (t *requestTable) scheduleExpiry(now time.Time, e *requestEntry) {
	e.expires = now.Add(outcomeRetention)
	e.element = t.finished.PushBack(e)
}

// removeCaller removes a caller that stopped waiting. A repeatable run without callers is
// stopped; a non-repeatable one continues so that its outcome becomes known.
func (t *requestTable) removeCaller(e *requestEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.callers--
	if e.callers == 0 && e.repeatable && e.cancel != nil {
		e.cancel()
	}
}

// peerStatus is the state of a request in the table, for a query of another host.
type peerStatus struct {
	response    PeerResponse
	intentID    string // of the run at this host, "" if it has none
	willNotSend bool
}

// promiseNotToSend returns the state of the request. If it has no entry, a promise is
// added: this host will not send the request from now on.
func (t *requestTable) promiseNotToSend(now time.Time, key requestKey) peerStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	e := t.byKey[key]
	if e == nil {
		if !t.makeRoom() {
			return peerStatus{response: PeerResponse{Outcome: PeerUnknown}}
		}
		e = &requestEntry{key: key, willNotSend: true}
		t.byKey[key] = e
		t.scheduleExpiry(now, e)
	}
	return peerStatus{response: e.peerResponse(), intentID: e.intentID, willNotSend: e.willNotSend}
}

// peerResponse returns the entry's state for another host.
func (e *requestEntry) peerResponse() PeerResponse {
	ended := e.element != nil && e.done != nil
	switch {
	case !ended && e.willNotSend:
		return PeerResponse{Outcome: PeerNotSent}
	case !ended:
		return PeerResponse{Outcome: PeerInProgress}
	case e.result.err != nil:
		return PeerResponse{Outcome: PeerOutcome(e.result.err.Outcome)}
	default:
		return PeerResponse{Outcome: PeerRan, Status: e.result.response.Status, Body: e.result.response.Body}
	}
}

// expire removes the entries whose retention has ended.
func (t *requestTable) expire(now time.Time) {
	for el := t.finished.Front(); el != nil; el = t.finished.Front() {
		e := el.Value.(*requestEntry)
		if now.Before(e.expires) {
			return
		}
		t.remove(e)
	}
}

// makeRoom removes the oldest finished repeatable request if the table is full. It
// reports whether there is room: other entries stay, because a request whose entry is
// removed could run twice.
func (t *requestTable) makeRoom() bool {
	if len(t.byKey) < maxEntries {
		return true
	}
	for el := t.finished.Front(); el != nil; el = el.Next() {
		if e := el.Value.(*requestEntry); e.repeatable {
			t.remove(e)
			return true
		}
	}
	return false
}

func (t *requestTable) remove(e *requestEntry) {
	t.bodyBytes -= len(e.result.response.Body)
	t.finished.Remove(e.element)
	delete(t.byKey, e.key)
}

// evictBodies drops the oldest response bodies, but not their outcomes, until the rest
// fit into maxEntryBodyBytes.
func (t *requestTable) evictBodies() {
	for el := t.finished.Front(); el != nil && t.bodyBytes > maxEntryBodyBytes; el = el.Next() {
		e := el.Value.(*requestEntry)
		if len(e.result.response.Body) == 0 {
			continue
		}
		t.bodyBytes -= len(e.result.response.Body)
		e.result = result{final: true, err: responseNotKeptError(e.key.id)}
	}
}

func responseNotKeptError(id string) *apierror.Error {
	return apierror.Ran(apierror.CodeAnswerNotKept, "request %s ran, but its response was not kept", id)
}
