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
	digest  string
	service model.Service
	done    chan struct{} // closed when res is set

	// Guarded by the table's lock.
	cancel     context.CancelFunc
	repeatable bool
	withdrawn  bool // this run has not sent the request and never will
	callers    int
	res        result
	expires    time.Time
	place      *list.Element
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
	e = t.byKey[p.key]
	if e != nil {
		if e.digest != "" && (e.digest != p.digest || e.service != p.req.Service) {
			return nil, false, apierror.NotRun(apierror.CodeIDReused, "request id %s was used with another body or service", p.key.id)
		}
		e.callers++
		return e, false, nil
	}
	if !t.makeRoom() {
		return nil, false, apierror.NotRun(apierror.CodeOverloaded, "this host remembers %d non-repeatable requests and takes no more", maxEntries)
	}
	e = &entry{key: p.key, digest: p.digest, service: p.req.Service, done: make(chan struct{})}
	e.repeatable = p.service.repeatable
	e.callers = 1
	t.byKey[p.key] = e
	return e, true, nil
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

// state returns the result and whether the run has ended, and otherwise whether it
// was withdrawn.
func (t *entries) state(e *entry) (res result, ended, withdrawn bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-e.done:
		return e.res, true, false
	default:
		return result{}, false, e.withdrawn
	}
}

// withdraw notes that the run will not send the request. e may be nil.
func (t *entries) withdraw(e *entry) {
	if e == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e.withdrawn = true
}

// finish stores the result. Results that say nothing about later submissions are
// forgotten at once.
func (t *entries) finish(now time.Time, e *entry, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.res = res
	close(e.done)
	if !res.final {
		delete(t.byKey, e.key)
		return
	}
	e.expires = now.Add(keepTime)
	e.place = t.finished.PushBack(e)
	t.bytes += len(res.answer.Body)
	t.dropBodies()
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

// promise returns the entry of the key, or nil after it has recorded that this host
// will not send the request.
func (t *entries) promise(now time.Time, key callKey) (*entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e := t.byKey[key]; e != nil {
		return e, true
	}
	if !t.makeRoom() {
		return nil, false
	}
	e := &entry{key: key, done: make(chan struct{}), expires: now.Add(keepTime)}
	e.res = result{final: true, err: apierror.NotRun(apierror.CodeUnknownOutcome,
		"request %s was refused at another host; use a new id", key.id)}
	close(e.done)
	t.byKey[key] = e
	e.place = t.finished.PushBack(e)
	return nil, true
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
