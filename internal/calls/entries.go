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
	// keepTime is how long answers and outcomes are kept.
	keepTime = 10 * time.Minute
	// maxEntries bounds the requests that one host remembers. At 32 MB for a whole
	// host, 20,000 entries of about 300 bytes leave room for the bodies.
	maxEntries = 20_000
	// maxEntryBytes bounds the answers that one host keeps; the oldest go first.
	maxEntryBytes = 4 << 20
)

// callKey names a request across organisations.
type callKey struct {
	org model.Organisation
	id  string
}

// result is the end of a request.
type result struct {
	answer Answer
	err    *apierror.Error
	// final results hold for every later submission of the same id.
	final bool
}

// entry is one request at this host.
type entry struct {
	key     callKey
	digest  digest
	service model.Service // empty in a promise for an id that was not seen here
	done    chan struct{} // closed when res is set; nil in a promise

	// Guarded by the table's lock.
	cancel     context.CancelFunc
	repeatable bool
	intent     string // unique id of this run's intent, once it may be in the log
	// withdrawn is set when this host has not sent the request and never will. It
	// outlives the run as a promise, because other hosts may rely on it.
	withdrawn bool
	callers   int
	res       result
	expires   time.Time
	place     *list.Element
}

// entries is the table of the requests that this host has seen.
type entries struct {
	mu       sync.Mutex
	byKey    map[callKey]*entry
	finished list.List // by time of expiry
	bytes    int
}

func newEntries() *entries { return &entries{byKey: map[callKey]*entry{}} }

// join returns the entry of the request. leader is true for the caller that must
// run it. It refuses an id that was seen with another body or service.
func (t *entries) join(now time.Time, p *plan) (e *entry, leader bool, err *apierror.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	old := t.byKey[p.key]
	if old != nil && old.service != "" && (old.digest != p.digest || old.service != p.req.Service) {
		return nil, false, idReused(p.key.id)
	}
	if old != nil && old.done != nil {
		old.callers++
		return old, false, nil
	}
	if old == nil && !t.makeRoom() {
		return nil, false, apierror.NotRun(apierror.CodeOverloaded, "this host remembers %d non-repeatable requests and takes no more", maxEntries)
	}
	e = &entry{key: p.key, digest: p.digest, service: p.req.Service, done: make(chan struct{})}
	e.repeatable = p.service.repeatable
	e.callers = 1
	if old != nil {
		t.remove(old)
		e.withdrawn, e.intent = true, old.intent
	}
	t.byKey[p.key] = e
	return e, true, nil
}

func idReused(id string) *apierror.Error {
	return apierror.NotRun(apierror.CodeIDReused, "request id %s was used with another body or service", id)
}

func refusedBefore(id string) *apierror.Error {
	return apierror.NotRun(apierror.CodeIDReused, "request %s was refused before and will not run; use a new id", id)
}

// started stores how the run is stopped when nobody waits for it any more.
func (t *entries) started(e *entry, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.cancel = cancel
}

// result returns the result of a finished entry.
func (t *entries) result(e *entry) result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.res
}

// withdraw notes that this host will not send the request. e may be nil.
func (t *entries) withdraw(e *entry) {
	if e == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e.withdrawn = true
}

// isWithdrawn reports whether this host promised not to send the request.
func (t *entries) isWithdrawn(e *entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.withdrawn
}

// intentOf returns the unique id of the run's intent, empty if it has none.
func (t *entries) intentOf(e *entry) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.intent
}

// setIntent notes the intent of the run before it is appended.
func (t *entries) setIntent(e *entry, uniqueID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.intent = uniqueID
}

// finish stores the result. Results that say nothing about later submissions are
// forgotten at once.
func (t *entries) finish(now time.Time, e *entry, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.res = res
	close(e.done)
	switch {
	case res.final:
	case e.withdrawn:
		e = &entry{key: e.key, digest: e.digest, service: e.service, intent: e.intent, withdrawn: true}
		t.byKey[e.key] = e
	default:
		delete(t.byKey, e.key)
		return
	}
	t.keep(now, e)
	t.bytes += len(e.res.answer.Body)
	t.dropBodies()
}

// keep starts the time for which a finished entry or a promise is kept.
func (t *entries) keep(now time.Time, e *entry) {
	e.expires = now.Add(keepTime)
	e.place = t.finished.PushBack(e)
}

// abandon notes that a caller went away. A repeatable run that nobody waits for is
// stopped; a non-repeatable one goes on so that its outcome becomes known.
func (t *entries) abandon(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.callers--
	if e.callers == 0 && e.repeatable && e.cancel != nil {
		e.cancel()
	}
}

// peerView is what the table knows of a request when another host asks.
type peerView struct {
	answer    PeerAnswer
	intent    string // of the run at this host
	withdrawn bool
}

// promise returns what is known of the key. If that is nothing, this host will not
// send the request from now on.
func (t *entries) promise(now time.Time, key callKey) peerView {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	e := t.byKey[key]
	if e == nil {
		if !t.makeRoom() {
			return peerView{answer: PeerAnswer{Outcome: PeerUnknown}}
		}
		e = &entry{key: key, withdrawn: true}
		t.byKey[key] = e
		t.keep(now, e)
	}
	return peerView{answer: e.peerAnswer(), intent: e.intent, withdrawn: e.withdrawn}
}

// peerAnswer is the entry's state for another host.
func (e *entry) peerAnswer() PeerAnswer {
	ended := e.place != nil && e.done != nil
	switch {
	case !ended && e.withdrawn:
		return PeerAnswer{Outcome: PeerNone}
	case !ended:
		return PeerAnswer{Outcome: PeerInProgress}
	case e.res.err != nil:
		return PeerAnswer{Outcome: PeerOutcome(e.res.err.Outcome)}
	default:
		return PeerAnswer{Outcome: PeerRan, Status: e.res.answer.Status, Body: e.res.answer.Body}
	}
}

// expire forgets entries whose time is up.
func (t *entries) expire(now time.Time) {
	for el := t.finished.Front(); el != nil; el = t.finished.Front() {
		e := el.Value.(*entry)
		if now.Before(e.expires) {
			return
		}
		t.remove(e)
	}
}

// makeRoom forgets the oldest repeatable request when the table is full. It reports
// false when there is none, because forgetting another could run it twice.
func (t *entries) makeRoom() bool {
	if len(t.byKey) < maxEntries {
		return true
	}
	for el := t.finished.Front(); el != nil; el = el.Next() {
		if e := el.Value.(*entry); e.repeatable {
			t.remove(e)
			return true
		}
	}
	return false
}

func (t *entries) remove(e *entry) {
	t.bytes -= len(e.res.answer.Body)
	t.finished.Remove(e.place)
	delete(t.byKey, e.key)
}

// dropBodies forgets the oldest answers, but not their outcome, when too many bytes
// are kept.
func (t *entries) dropBodies() {
	for el := t.finished.Front(); el != nil && t.bytes > maxEntryBytes; el = el.Next() {
		e := el.Value.(*entry)
		if len(e.res.answer.Body) == 0 {
			continue
		}
		t.bytes -= len(e.res.answer.Body)
		e.res = result{final: true, err: answerNotKept(e.key.id)}
	}
}

func answerNotKept(id string) *apierror.Error {
	return apierror.Ran(apierror.CodeAnswerNotKept, "request %s ran, but its answer was not kept", id)
}
