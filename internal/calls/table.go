package calls

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"
	"unique"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

const (
	// openKeepTime is how long an intent without an outcome is kept: the longest
	// timeout of a request, and then as long as an outcome.
	openKeepTime = keepTime + 10*time.Minute
	// maxTableBytes bounds the answers of the calls stream that are kept in memory.
	maxTableBytes = 8 << 20
	// maxTableCalls bounds the calls in the table: 66 non-repeatable requests a second
	// of the whole deployment for ten minutes, 18 MB at 454 bytes each, of the 32 MB
	// that a host may use. Above it no new intents are appended, because forgetting
	// one could run its request twice.
	maxTableCalls = 40_000
)

// callState is what the calls stream says about a request.
type callState struct {
	host     model.HostID
	uniqueID string
	digest   digest
	service  model.Service
	// outcome is empty until the outcome or the cancellation is in the log.
	outcome model.Outcome
	status  int
	body    []byte
	omitted bool // ran, but the answer was not kept
}

// Table folds the calls stream. It implements journal.Applier.
type Table struct {
	blackboard.Notifier
	mu        sync.Mutex
	calls     map[callKey]*tableCall
	cancelled map[string]*tableCall // by unique id, also before the intent arrives
	open      list.List             // of *tableCall: intents without an outcome
	closed    list.List             // of *tableCall: outcomes and cancellations
	bytes     int
}

// tableCall is a row of the table. A row without a key only remembers that a unique
// id was cancelled.
type tableCall struct {
	callState
	key     callKey
	expires time.Time
	place   *list.Element
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{calls: map[callKey]*tableCall{}, cancelled: map[string]*tableCall{}}
}

// Apply implements journal.Applier. Records with a body that cannot be read have no
// effect; every host skips the same ones.
func (t *Table) Apply(_ int64, r journal.Record) {
	t.mu.Lock()
	t.expire(time.Now())
	switch r.Kind {
	case journal.KindCallIntent:
		t.applyIntent(r)
	case journal.KindCallOutcome:
		t.applyOutcome(r)
	case journal.KindCallCancelled:
		t.applyCancelled(r)
	}
	t.mu.Unlock()
	t.Notify()
}

// applyIntent makes the first intent of a request its winner. An intent that was
// cancelled before it arrived wins too, so that the request never runs.
func (t *Table) applyIntent(r journal.Record) {
	var in journal.CallIntent
	if json.Unmarshal(r.Body, &in) != nil {
		return
	}
	key := callKey{org: shared(in.Organisation), id: in.Request}
	if t.calls[key] != nil {
		return
	}
	c := &tableCall{key: key, expires: time.Now().Add(openKeepTime), callState: callState{
		host:     shared(r.Host),
		uniqueID: in.UniqueID,
		digest:   parseDigest(in.BodyDigest),
		service:  shared(in.Service),
	}}
	t.calls[key] = c
	c.place = t.open.PushBack(c)
	if t.cancelled[in.UniqueID] != nil {
		c.outcome = model.OutcomeNotRun
		t.close(c)
	}
}

// shared returns one copy of a name that many rows repeat, to save memory.
func shared[S ~string](name S) S { return unique.Make(name).Value() }

// digest is the SHA-256 sum of a body.
type digest [sha256.Size]byte

// parseDigest reads the hexadecimal form. A digest that cannot be read equals none
// that a body has, so requests with its id are refused.
func parseDigest(text string) (d digest) {
	if b, err := hex.DecodeString(text); err == nil {
		copy(d[:], b)
	}
	return d
}

func (t *Table) applyOutcome(r journal.Record) {
	var out journal.CallOutcome
	if json.Unmarshal(r.Body, &out) != nil {
		return
	}
	c := t.calls[callKey{org: out.Organisation, id: out.Request}]
	if c == nil || c.host != r.Host || c.outcome != "" {
		return
	}
	c.outcome, c.status, c.body, c.omitted = out.Outcome, out.Status, out.Body, out.BodyOmitted
	t.bytes += len(c.body)
	t.close(c)
	t.dropBodies()
}

func (t *Table) applyCancelled(r journal.Record) {
	var can journal.CallCancelled
	if json.Unmarshal(r.Body, &can) != nil {
		return
	}
	if t.cancelled[can.UniqueID] == nil {
		c := &tableCall{callState: callState{uniqueID: can.UniqueID}, expires: time.Now().Add(keepTime)}
		c.place = t.closed.PushBack(c)
		t.cancelled[can.UniqueID] = c
	}
	c := t.calls[callKey{org: can.Organisation, id: can.Request}]
	if c != nil && c.uniqueID == can.UniqueID && c.outcome == "" {
		c.outcome = model.OutcomeNotRun
		t.close(c)
	}
}

// close moves a call to the list of those that have an outcome.
func (t *Table) close(c *tableCall) {
	t.open.Remove(c.place)
	c.expires = time.Now().Add(keepTime)
	c.place = t.closed.PushBack(c)
}

func (t *Table) expire(now time.Time) {
	t.expireList(&t.open, now)
	t.expireList(&t.closed, now)
}

func (t *Table) expireList(l *list.List, now time.Time) {
	for el := l.Front(); el != nil; el = l.Front() {
		c := el.Value.(*tableCall)
		if now.Before(c.expires) {
			return
		}
		l.Remove(el)
		t.bytes -= len(c.body)
		if c.key == (callKey{}) {
			delete(t.cancelled, c.uniqueID)
		} else {
			delete(t.calls, c.key)
		}
	}
}

// dropBodies forgets the oldest answers when too many bytes are kept.
func (t *Table) dropBodies() {
	for el := t.closed.Front(); el != nil && t.bytes > maxTableBytes; el = el.Next() {
		c := el.Value.(*tableCall)
		if len(c.body) > 0 {
			t.bytes -= len(c.body)
			c.body, c.omitted = nil, true
		}
	}
}

// get returns what the log says about a request.
func (t *Table) get(key callKey) (callState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	c := t.calls[key]
	if c == nil {
		return callState{}, false
	}
	return c.callState, true
}

// full reports whether the table takes no more intents.
func (t *Table) full() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open.Len()+t.closed.Len() >= maxTableCalls
}
