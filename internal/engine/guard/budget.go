package guard

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// smallBytes is what a request may hold to count as small. Only small ones may use the last
	// quarter of the budget, so that large bodies do not keep ordinary calls out.
	smallBytes = 64 << 10
	// maxOwnerShare is the divisor of the budget that one organisation may use.
	maxOwnerShare = 2
	// progressBytes is the number of bytes that count as progress of a body.
	progressBytes = 4 << 10
	// minStall is how long a body must have made no progress to be given up for others: more
	// than one retransmission of a lost packet.
	minStall = 500 * time.Millisecond
	// evictionInterval bounds how often the bodies are searched for stalled ones.
	evictionInterval = 20 * time.Millisecond
	// evictionDivisor is the share of the budget that is freed at once.
	evictionDivisor = 8
)

var errNoRoom = errors.New("the budget has no room")

// budget is the memory for request bodies and what they become. It answers the load of many
// bodies at once: an organisation holds at most half of it, large bodies at most three quarters
// of that, its unfinished bodies take at most half of the places for calls, and when it becomes short, the bodies that have made no progress for longest are
// given up first.
type budget struct {
	limit     int64
	maxBodies int64 // unfinished bodies of an organisation
	now       func() time.Time

	mu          sync.Mutex
	used        int64
	byOwner     map[string]int64
	bodies      map[string]int64 // unfinished ones by organisation
	unfinished  map[*reservation]struct{}
	lastEvicted time.Time
}

func newBudget(limit int64, now func() time.Time) *budget {
	return &budget{
		limit: limit, maxBodies: math.MaxInt64, now: now,
		byOwner: map[string]int64{}, bodies: map[string]int64{}, unfinished: map[*reservation]struct{}{},
	}
}

// reservation is what one request holds.
type reservation struct {
	budget   *budget
	owner    string
	abort    func() // makes the reader of the body stop
	held     int64
	received int64 // bytes of the body at the last progress
	progress time.Time
	evicted  bool
}

func (b *budget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// open returns a reservation for an unfinished body, which holds nothing yet.
func (b *budget) open(owner string, abort func()) *reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &reservation{budget: b, owner: owner, abort: abort, progress: b.now()}
	b.unfinished[r] = struct{}{}
	b.bodies[owner]++
	return r
}

// hold changes what the reservation holds. It fails if there is no room for that.
func (r *reservation) hold(bytes int64) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	extra := bytes - r.held
	if r.held == 0 && b.hasTooManyBodies(r.owner) || extra > 0 && !b.hasRoom(r.owner, bytes, extra) {
		b.evictStalled(r.owner)
		return errNoRoom
	}
	r.add(extra)
	if b.isShort(r.owner) {
		b.evictStalled(r.owner)
	}
	return nil
}

// note notes how much of the body has been received, and reports whether the body may go on.
func (r *reservation) note(received int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if received-r.received >= progressBytes {
		r.received, r.progress = received, b.now()
	}
	return !r.evicted
}

// finish notes that the body has been received whole, and reports whether it was not given up
// before; from now on it is not.
func (r *reservation) finish() bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.unfinished[r]; ok {
		delete(b.unfinished, r)
		if b.bodies[r.owner]--; b.bodies[r.owner] == 0 {
			delete(b.bodies, r.owner)
		}
	}
	return !r.evicted
}

// hasTooManyBodies reports whether the organisation has more unfinished bodies than it may.
func (b *budget) hasTooManyBodies(owner string) bool { return b.bodies[owner] > b.maxBodies }

// giveUpStalled gives up stalled bodies of all organisations, because their calls need place.
func (b *budget) giveUpStalled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictStalled("")
}

// release returns all that the reservation holds.
func (r *reservation) release() {
	r.finish()
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(-r.held)
}

func (r *reservation) add(bytes int64) {
	r.held += bytes
	r.budget.used += bytes
	if r.budget.byOwner[r.owner] += bytes; r.budget.byOwner[r.owner] == 0 {
		delete(r.budget.byOwner, r.owner)
	}
}

// hasRoom reports whether a request that would then hold the given bytes may have extra ones.
func (b *budget) hasRoom(owner string, holds, extra int64) bool {
	limit := b.limit
	if holds > smallBytes {
		limit -= limit / 4
	}
	return b.used+extra <= limit && b.byOwner[owner]+extra <= limit/maxOwnerShare
}

// isShort reports whether the budget, or the owner's share, is nearly used up.
func (b *budget) isShort(owner string) bool {
	return b.used > b.limit-b.limit/8 || b.byOwner[owner] > (b.limit-b.limit/8)/maxOwnerShare
}

// evictStalled gives up stalled bodies, those without progress for longest first: of the owner
// if its share is the reason, or else of all.
func (b *budget) evictStalled(owner string) {
	now := b.now()
	if now.Sub(b.lastEvicted) < evictionInterval {
		return
	}
	b.lastEvicted = now
	ownShare := b.hasTooManyBodies(owner) || b.byOwner[owner] > b.limit/maxOwnerShare/2 && b.used < b.limit/2+b.limit/4
	var stalled []*reservation
	for r := range b.unfinished {
		if !r.evicted && now.Sub(r.progress) >= minStall && (r.owner == owner || !ownShare) {
			stalled = append(stalled, r)
		}
	}
	slices.SortFunc(stalled, func(x, y *reservation) int {
		return cmp.Or(x.progress.Compare(y.progress), cmp.Compare(y.held, x.held))
	})
	freed := int64(0)
	for _, r := range stalled {
		if freed >= b.limit/evictionDivisor {
			return
		}
		r.evicted = true
		freed += r.held
		r.abort()
	}
}
