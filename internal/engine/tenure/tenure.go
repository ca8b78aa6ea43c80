// Package tenure decides which host is the scheduler, through a group at the store. It
// only makes ownership quick to move; the epoch that it hands out keeps a former owner
// from doing harm.
package tenure

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/boottime"
	"github.com/daisyfold/daisyfold/internal/engine/store"
)

const (
	// group and topic name the group at the store; partition 0 is ownership of all
	// workers. Further partitions are for deployments that need several schedulers.
	group     = "scheduler"
	topic     = "scheduler"
	partition = 0
	// joinShare is the part of the time to live after which a member joins again: four
	// joins may fail before it lapses.
	joinShare = 5
	// margin is taken off the time to live, for the time between a check and the bytes
	// that leave after it.
	margin = 100 * time.Millisecond
)

// Options of a tenure.
type Options struct {
	Store store.Store
	// Host names this host; the member's name adds the life of the process, so that a
	// restarted one does not continue its earlier life's ownership, and its share.
	Host string
	Life int64
	// CPUShare is this host's part of a core. A host stands back while members with a
	// larger share are there, because the scheduler's work falls to one host.
	CPUShare float64
	TTL      time.Duration
	// Owner returns the member that last wrote as the owner, and for how long nothing
	// of it has been seen. Proof is how old the copy is in which that was seen.
	Owner  func() (member string, silent time.Duration)
	Proof  func() (age time.Duration, ok bool)
	Now    boottime.Clock
	Logger *zap.Logger
}

// Tenure follows the group.
type Tenure struct {
	Options
	mu         sync.Mutex
	generation int64
	epoch      int64 // 0 while this host is not the owner
	rejected   int64 // the highest epoch that was shut out by a later one
	provedAt   time.Duration
	lost       bool
	// answer is how long the last answered join took; tries count those without an
	// answer since.
	answer time.Duration
	tries  int
	// below is set while the owner has a larger share than this host.
	below   atomic.Bool
	changed chan struct{}

	// The loop's own state: whether this host is in the group, whether nobody held the
	// partition at the last look, when that was, and when this host last held the
	// partition or joined.
	joined, vacant  bool
	checked, heldAt time.Duration
}

// New returns a tenure that has not joined.
func New(o Options) *Tenure { return &Tenure{Options: o, changed: make(chan struct{}, 1)} }

// Member is this host's name in the group.
func (t *Tenure) Member() string {
	return strings.Join([]string{t.Host, strconv.FormatInt(t.Life, 36), strconv.FormatFloat(t.CPUShare, 'f', -1, 64)}, memberSeparator)
}

// memberSeparator parts host, life and share in a member's name.
const memberSeparator = "/"

// shareOf reads the share from a member's name; 0 if it has none.
func shareOf(member string) float64 {
	share, err := strconv.ParseFloat(member[strings.LastIndex(member, memberSeparator)+1:], 64)
	if err != nil {
		return 0
	}
	return share
}

// Changed receives when ownership came or went.
func (t *Tenure) Changed() <-chan struct{} { return t.changed }

// Outranked tells whether the owner has a larger share than this host.
func (t *Tenure) Outranked() bool { return t.below.Load() }

// Epoch returns the epoch of this host's ownership, or 0.
func (t *Tenure) Epoch() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch
}

// Lapse returns when the ownership of the epoch is no longer proved, on the boot-time
// clock; ok is false if the epoch is over.
func (t *Tenure) Lapse(epoch int64) (at time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.provedAt + t.TTL - margin, t.epoch == epoch && epoch != 0
}

// Reject reports that a later epoch than this one was seen.
func (t *Tenure) Reject(epoch int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejected = max(t.rejected, epoch)
	if t.epoch == epoch {
		t.set(0, "a later epoch was seen")
	}
}

// Run takes part in ownership until the context ends, and then leaves the group.
//
// Only the owner stays in the group, because each change of the members may move its
// partition. The other hosts stand by: they watch the owner and join when it has gone.
func (t *Tenure) Run(ctx context.Context) error {
	t.waitForStronger(ctx)
	for ctx.Err() == nil {
		if t.joined {
			t.stay(ctx)
			pause(ctx, t.TTL/joinShare)
			continue
		}
		t.standBy(ctx)
		pause(ctx, watchInterval)
	}
	if t.joined {
		t.leave()
	}
	return ctx.Err()
}

// waitForStronger lets hosts with a larger share join first when all hosts start
// together. The last owner's name tells how large shares are: a host that has as much
// need not wait.
func (t *Tenure) waitForStronger(ctx context.Context) {
	spread := time.Duration(float64(startSpread) * max(0, 1-t.CPUShare))
	for waited := time.Duration(0); waited < spread && ctx.Err() == nil; waited += watchInterval {
		if last, _ := t.Owner(); last != "" && shareOf(last) <= t.CPUShare {
			break
		}
		pause(ctx, watchInterval)
	}
	pause(ctx, rand.N(startJitter))
}

const (
	// startSpread is how much later a host without any processor would first join than
	// one with a whole core.
	startSpread = 1500 * time.Millisecond
	startJitter = 100 * time.Millisecond
	// watchInterval is the time between two looks at the owner's signs of life.
	watchInterval = 80 * time.Millisecond
	// checkInterval is the time between two looks at who holds what, at the least. It
	// adds to the takeover when an owner's silence is not seen.
	checkInterval = time.Second
	// unheld is how long a member without the partition stays in the group.
	unheld = time.Second
	// joinJitter spreads the hosts that see an owner's silence at the same time.
	joinJitter = 200 * time.Millisecond
)

// stay keeps this host in the group, unless its time to live is over, a member with a
// larger share has come, or another one holds the partition.
func (t *Tenure) stay(ctx context.Context) {
	now := t.Now()
	if t.provedAt != 0 && now-t.provedAt > t.TTL {
		t.Logger.Warn("the membership has lapsed", zap.Duration("since", now-t.provedAt))
		t.joined, t.checked = false, 0
		t.standBy(ctx)
		return
	}
	if now-t.checked > 2*checkInterval {
		t.checked = now
		if holders, err := t.holders(ctx); err == nil && t.outranked(holders) {
			t.leave()
			return
		}
	}
	t.join(ctx)
	if t.Epoch() != 0 {
		t.heldAt = t.Now()
	} else if t.Now()-t.heldAt > unheld {
		t.leave()
	}
}

// standBy joins the group if its owner is silent or has gone.
func (t *Tenure) standBy(ctx context.Context) {
	silent := t.silentOwner()
	if silent == "" && t.Epoch() == 0 && t.Now()-t.checked < checkInterval {
		return
	}
	if silent != "" {
		pause(ctx, rand.N(joinJitter))
	}
	holders, err := t.holders(ctx)
	if err != nil {
		return // logged; asked again soon
	}
	t.checked = t.Now() - rand.N(checkInterval/4)
	holder := holders[partition]
	t.below.Store(shareOf(holder) > t.CPUShare)
	if holder != t.Member() {
		t.giveUp("another member holds the partition")
	}
	if holder == "" && !t.vacant {
		// The host that took a silent owner out joins next: it is looked at once more.
		t.vacant, t.checked = true, 0
		return
	}
	t.vacant = false
	switch {
	case holder == "" || holder == t.Member() || shareOf(holder) < t.CPUShare:
		t.enter(ctx, holder)
	case holder == silent || t.isFormerSelf(holder):
		t.evict(ctx, holder)
		t.enter(ctx, holder)
	}
}

// isFormerSelf tells whether the member is an earlier process of this host, which is gone.
func (t *Tenure) isFormerSelf(member string) bool {
	host, _, _ := strings.Cut(member, memberSeparator)
	return host == t.Host
}

// enter joins the group.
func (t *Tenure) enter(ctx context.Context, holder string) {
	t.Logger.Info("joining the group", zap.String("holder", holder))
	t.joined, t.heldAt = true, t.Now()
	t.join(ctx)
}

// giveUp ends this host's ownership, if it has any.
func (t *Tenure) giveUp(why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.epoch != 0 {
		t.set(0, why)
	}
}

// holders returns which member holds which partition.
func (t *Tenure) holders(ctx context.Context) (map[int]string, error) {
	ctx, cancel := context.WithTimeout(ctx, t.TTL/2)
	defer cancel()
	holders, err := t.Store.Owners(ctx, group)
	if err != nil {
		t.Logger.Debug("the owners of the group cannot be read", zap.Error(err))
	}
	return holders, err
}

// outranked tells whether a member with a larger share holds a partition.
func (t *Tenure) outranked(holders map[int]string) bool {
	for _, m := range holders {
		if shareOf(m) > t.CPUShare {
			return true
		}
	}
	return false
}

const (
	// silentAfter is for how long an owner must be proved to have written nothing before
	// the others take its ownership away: two and a half of its signs of life.
	silentAfter = 500 * time.Millisecond
	// outrankedGrace is added at hosts that leave ownership to stronger ones, so that one
	// of these comes first.
	outrankedGrace = 600 * time.Millisecond
	// silentAnswers is how many answers of the store are added to that, for a slow one.
	silentAnswers = 4
	// silentProof is the age of the copy up to which silence means the owner's.
	silentProof = 600 * time.Millisecond
)

// silentOwner returns the member that was the owner and has stopped writing, or "".
func (t *Tenure) silentOwner() string {
	member, silent := t.Owner()
	age, ok := t.Proof()
	needed := silentAfter + silentAnswers*t.answer
	if t.Outranked() {
		needed += outrankedGrace
	}
	// What the owner wrote since the last complete read is not known here.
	if member == t.Member() || !ok || age > silentProof || silent-age < needed {
		return ""
	}
	return member
}

// evict takes a silent owner out of the group before its time to live is over. If it is
// alive after all, its epoch is over.
func (t *Tenure) evict(ctx context.Context, member string) {
	t.Logger.Warn("a silent owner is taken out of the group", zap.String("owner", member))
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := t.Store.Leave(ctx, store.JoinRequest{Group: group, Member: member}); err != nil {
		t.Logger.Warn("the silent owner could not be taken out", zap.String("owner", member), zap.Error(err))
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (t *Tenure) request() store.JoinRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return store.JoinRequest{Group: group, Member: t.Member(), Topic: topic, TTL: t.TTL, Generation: t.generation}
}

func (t *Tenure) join(ctx context.Context) {
	request := t.request()
	ctx, cancel := context.WithTimeout(ctx, min(store.AttemptTimeout(t.tries+1, t.answer), t.TTL/2))
	defer cancel()
	sent := t.Now()
	m, err := t.Store.Join(ctx, request)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.tries++
		t.failed(err)
		return
	}
	t.tries = 0
	if t.lost {
		t.lost = false
		t.Logger.Info("group regained", zap.Int64("generation", m.Generation))
	}
	t.generation = m.Generation
	t.provedAt = sent
	t.answer = t.Now() - sent
	holds := slices.Contains(m.Partitions, partition)
	switch {
	case !holds && t.epoch != 0:
		t.set(0, "another member holds the partition")
	case holds && t.epoch == 0 && m.Generation > t.rejected:
		t.set(m.Generation, "the partition was assigned to this host")
	case holds && t.epoch == 0:
		// Only a new generation gives an epoch above the one that was shut out.
		t.heldAt = sent - unheld
	}
}

// failed notes a join without an answer. Ownership ends when its proof is too old; the
// lock is held.
func (t *Tenure) failed(err error) {
	if !t.lost {
		t.lost = true
		t.Logger.Warn("group lost", zap.Int64("epoch", t.epoch), zap.Error(err))
	}
}

// set changes the epoch; the lock is held.
func (t *Tenure) set(epoch int64, why string) {
	t.Logger.Info("ownership changed", zap.Int64("from", t.epoch), zap.Int64("to", epoch), zap.String("why", why))
	t.epoch = epoch
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// leaveTimeout bounds the call that leaves the group.
const leaveTimeout = 500 * time.Millisecond

// leave gives up the membership.
func (t *Tenure) leave() {
	t.joined, t.checked = false, 0
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := t.Store.Leave(ctx, t.request()); err != nil {
		t.Logger.Warn("the group could not be left; its time to live ends the membership", zap.Error(err))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.epoch != 0 {
		t.set(0, "this host left the group")
	}
}
