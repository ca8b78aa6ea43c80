package guard

import (
	"testing"
	"time"
)

// testBudget is a budget of 1 MiB with a clock of its own.
type testBudget struct {
	*budget
	t     *testing.T
	clock time.Time
}

func newTestBudget(t *testing.T) *testBudget {
	b := &testBudget{t: t, clock: time.Unix(1000, 0)}
	b.budget = newBudget(1<<20, func() time.Time { return b.clock })
	return b
}

// body opens a reservation that holds the given bytes, and returns whether it was given up.
func (b *testBudget) body(owner string, bytes int64) (r *reservation, aborted *bool) {
	b.t.Helper()
	aborted = new(bool)
	r = b.open(owner, func() { *aborted = true })
	if err := r.hold(bytes); err != nil {
		b.t.Fatalf("%d bytes for %s: %v", bytes, owner, err)
	}
	return r, aborted
}

// TestLargeBodiesLeaveRoom guards against large bodies that keep small calls out, of the same
// organisation and of another one.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	b := newTestBudget(t)
	for range 3 {
		b.body("a", 128<<10)
	}
	if r := b.open("a", func() {}); r.hold(128<<10) == nil {
		t.Error("an organisation holds more than three quarters of its half in large bodies")
	}
	b.body("a", 16<<10)
	b.body("b", 128<<10)
	b.body("b", 16<<10)
}

// TestOneOrganisationHoldsHalf guards against an organisation whose small bodies take the share
// of all others.
func TestOneOrganisationHoldsHalf(t *testing.T) {
	b := newTestBudget(t)
	for range 512 / 64 {
		b.body("a", 64<<10)
	}
	if r := b.open("a", func() {}); r.hold(1) == nil {
		t.Error("an organisation holds more than half of the budget")
	}
	for range 512 / 64 {
		b.body("b", 64<<10)
	}
	if r := b.open("c", func() {}); r.hold(1) == nil || b.inUse() != 1<<20 {
		t.Errorf("%d bytes are in use", b.inUse())
	}
}

// TestStalledBodiesAreGivenUp guards against stalled bodies that hold the budget until their
// deadline while others are refused, and against giving up one that makes progress, or one
// that is complete.
func TestStalledBodiesAreGivenUp(t *testing.T) {
	b := newTestBudget(t)
	whole, wholeAborted := b.body("a", 64<<10)
	whole.finish()
	_, stalledAborted := b.body("a", 64<<10)
	moving, movingAborted := b.body("a", 64<<10)
	_, otherAborted := b.body("b", 64<<10)
	b.clock = b.clock.Add(minStall)
	moving.note(progressBytes)
	for range 5 {
		b.body("a", 64<<10)
	}
	if !*stalledAborted || *movingAborted || *wholeAborted || *otherAborted {
		t.Errorf("given up: stalled %t, moving %t, whole %t, of another organisation %t", *stalledAborted, *movingAborted, *wholeAborted, *otherAborted)
	}
	if !moving.note(2 * progressBytes) {
		t.Error("a body that makes progress may not go on")
	}
}

// TestTrickleIsNoProgress guards against bodies that send a byte now and then to look alive.
func TestTrickleIsNoProgress(t *testing.T) {
	b := newTestBudget(t)
	r, aborted := b.body("a", 448<<10-64<<10)
	for range 100 {
		b.clock = b.clock.Add(minStall / 50)
		r.note(1)
	}
	if small := b.open("a", func() {}); small.hold(64<<10) != nil || small.hold(64<<10+1) == nil || !*aborted || r.note(2) {
		t.Error("the body that trickles was not given up")
	}
}

// TestStalledBodiesLeavePlaces guards against small bodies of one organisation that stall and take
// all places for calls, long before they take its share of the memory.
func TestStalledBodiesLeavePlaces(t *testing.T) {
	b := newTestBudget(t)
	b.maxBodies = 4
	first, firstAborted := b.body("a", 1)
	for range 3 {
		b.body("a", 1)
	}
	if r := b.open("a", func() {}); r.hold(1) == nil {
		t.Error("an organisation has more unfinished bodies than its share")
	} else {
		r.release()
	}
	b.body("b", 1)
	if first.hold(2) != nil {
		t.Error("a body that has a place may not grow")
	}
	b.clock = b.clock.Add(minStall)
	b.open("a", func() {}).release()
	refused := b.open("a", func() {})
	if refused.hold(1) == nil || !*firstAborted {
		t.Error("the bodies that stall were not given up")
	}
	refused.release()
	first.release()
	if _, aborted := b.body("a", 1); *aborted {
		t.Error("a place that was returned is not given again")
	}
}

// TestGivenUpBodyIsRefused guards against a body that is complete in the moment in which it is given
// up, and is then executed although its connection has been interrupted.
func TestGivenUpBodyIsRefused(t *testing.T) {
	b := newTestBudget(t)
	late, aborted := b.body("a", 1)
	whole, _ := b.body("a", 1)
	if !whole.finish() {
		t.Error("a complete body was refused")
	}
	b.clock = b.clock.Add(minStall)
	b.giveUpStalled()
	if !*aborted || late.finish() {
		t.Error("a body that was given up is executed")
	}
}

// TestReleaseReturnsMemory guards against a budget that leaks.
func TestReleaseReturnsMemory(t *testing.T) {
	b := newTestBudget(t)
	for range 100 {
		r, _ := b.body("a", 300<<10)
		r.finish()
		r.release()
	}
	if b.inUse() != 0 || len(b.byOwner) != 0 || len(b.unfinished) != 0 {
		t.Errorf("%d bytes, %d owners and %d bodies are left", b.inUse(), len(b.byOwner), len(b.unfinished))
	}
}
