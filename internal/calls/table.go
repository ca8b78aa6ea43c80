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
	// openIntentRetention is how long an intent without an outcome is kept: the maximum
	// timeout of a request (10 minutes) plus the retention of an outcome.
	openIntentRetention = outcomeRetention + 10*time.Minute
	// maxTableBodyBytes limits the response bodies of the calls stream that are kept in
	// memory; the oldest are evicted first.
	maxTableBodyBytes = 8 << 20
	// maxTableCalls limits the calls in the table. It allows 66 non-repeatable requests
	// a second in the whole deployment for ten minutes and takes 18 MB at 454 bytes
	// each, of the 32 MB that a host may use. At the limit no new intents are appended,
	// because forgetting one could run its request twice.
	maxTableCalls = 40_000
)

// callState is the state of a request according to the calls stream.
type callState struct {
	host     model.HostID // appended the intent
	uniqueID string       // of the intent
	digest   digest       // of the request body
	service  model.Service
	// outcome is empty until the outcome or the cancellation is in the log.
	outcome     model.Outcome
	status      int
	body        []byte
	bodyOmitted bool // ran, but the response was not kept
}

// Table holds the state of the requests in the calls stream. It implements
// journal.Applier.
type Table struct {
	blackboard.Notifier
	mu        sync.Mutex
	calls     map[requestKey]*tableRow
	cancelled map[string]*tableRow // by the unique id of the intent, which may arrive after its cancellation
	open      list.List            // of *tableRow with an intent and no outcome, by time of expiry
	closed    list.List            // of *tableRow with an outcome or a cancellation, by time of expiry
	bodyBytes int
}

// tableRow is a row of the table. A row without a key only records that the intent with
// its unique id was cancelled.
type tableRow struct {
	callState
	key     requestKey
	expires time.Time
	element *list.Element
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{calls: map[requestKey]*tableRow{}, cancelled: map[string]*tableRow{}}
}

// Apply implements journal.Applier. Records whose body cannot be decoded are skipped, by
// every host alike.
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

// applyIntent stores the first intent of a request; later intents of the same request
// have no effect. An intent that was cancelled before it arrived also counts as the
// first, so that the request never runs.
func (t *Table) applyIntent(r journal.Record) {
	var intent journal.CallIntent
	if json.Unmarshal(r.Body, &intent) != nil {
		return
	}
	key := requestKey{org: intern(intent.Organisation), id: intent.Request}
	if t.calls[key] != nil {
		return
	}
	row := &tableRow{key: key, expires: time.Now().Add(openIntentRetention), callState: callState{
		host:     intern(r.Host),
		uniqueID: intent.UniqueID,
		digest:   parseDigest(intent.BodyDigest),
		service:  intern(intent.Service),
	}}
	t.calls[key] = row
	row.element = t.open.PushBack(row)
	if t.cancelled[intent.UniqueID] != nil {
		row.outcome = model.OutcomeNotRun
		t.moveToClosed(row)
	}
}

// intern returns a shared copy of a name that many rows repeat, to save memory.
func intern[S ~string](name S) S { return unique.Make(name).Value() }

// digest is the SHA-256 sum of a body.
type digest [sha256.Size]byte

// parseDigest decodes a hexadecimal digest. If text is invalid, it returns the zero
// digest, which no body has, so that requests with its id are refused.
func parseDigest(text string) (d digest) {
	if b, err := hex.DecodeString(text); err == nil {
		copy(d[:], b)
	}
	return d
}

// applyOutcome stores the outcome of a request, unless it has one or its intent is of
// another host.
func (t *Table) applyOutcome(r journal.Record) {
	var outcome journal.CallOutcome
	if json.Unmarshal(r.Body, &outcome) != nil {
		return
	}
	row := t.calls[requestKey{org: outcome.Organisation, id: outcome.Request}]
	if row == nil || row.host != r.Host || row.outcome != "" {
		return
	}
	row.outcome, row.status, row.body, row.bodyOmitted = outcome.Outcome, outcome.Status, outcome.Body, outcome.BodyOmitted
	t.bodyBytes += len(row.body)
	t.moveToClosed(row)
	t.evictBodies()
}

// applyCancelled records that an intent was cancelled and closes its request, unless
// that has an outcome.
func (t *Table) applyCancelled(r journal.Record) {
	var cancelled journal.CallCancelled
	if json.Unmarshal(r.Body, &cancelled) != nil {
		return
	}
	if t.cancelled[cancelled.UniqueID] == nil {
		cancelledRow := &tableRow{callState: callState{uniqueID: cancelled.UniqueID}, expires: time.Now().Add(outcomeRetention)}
		cancelledRow.element = t.closed.PushBack(cancelledRow)
		t.cancelled[cancelled.UniqueID] = cancelledRow
	}
	row := t.calls[requestKey{org: cancelled.Organisation, id: cancelled.Request}]
	if row != nil && row.uniqueID == cancelled.UniqueID && row.outcome == "" {
		row.outcome = model.OutcomeNotRun
		t.moveToClosed(row)
	}
}

// moveToClosed moves a call that got an outcome to the closed list.
func (t *Table) moveToClosed(row *tableRow) {
	t.open.Remove(row.element)
	row.expires = time.Now().Add(outcomeRetention)
	row.element = t.closed.PushBack(row)
}

// expire removes the rows whose retention has ended.
func (t *Table) expire(now time.Time) {
	t.expireList(&t.open, now)
	t.expireList(&t.closed, now)
}

func (t *Table) expireList(l *list.List, now time.Time) {
	for el := l.Front(); el != nil; el = l.Front() {
		row := el.Value.(*tableRow)
		if now.Before(row.expires) {
			return
		}
		l.Remove(el)
		t.bodyBytes -= len(row.body)
		if row.key == (requestKey{}) {
			delete(t.cancelled, row.uniqueID)
		} else {
			delete(t.calls, row.key)
		}
	}
}

// evictBodies drops the oldest response bodies until they fit into maxTableBodyBytes.
func (t *Table) evictBodies() {
	for el := t.closed.Front(); el != nil && t.bodyBytes > maxTableBodyBytes; el = el.Next() {
		row := el.Value.(*tableRow)
		if len(row.body) > 0 {
			t.bodyBytes -= len(row.body)
			row.body, row.bodyOmitted = nil, true
		}
	}
}

// get returns the state of a request and whether the log has its intent.
func (t *Table) get(key requestKey) (callState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	row := t.calls[key]
	if row == nil {
		return callState{}, false
	}
	return row.callState, true
}

// full reports whether the table has reached maxTableCalls.
func (t *Table) full() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open.Len()+t.closed.Len() >= maxTableCalls
}
