// Package tenure elects the host that runs the scheduler, the owner, through membership in
// a group at the store. The election makes a takeover fast but does not guarantee a single
// owner. The epoch of each ownership is a fencing token that makes stale writes and orders
// of a former owner fail.
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
	// The holder of partition 0 of the group's topic is the owner of all workers. Further
	// partitions are reserved for deployments that need several schedulers.
	groupName      = "scheduler"
	topicName      = "scheduler"
	ownerPartition = 0
)

// joinsPerTTL is how often a member renews its membership within the time to live: four
// joins may fail before the membership expires.
const joinsPerTTL = 5

// expiryMargin is subtracted from the time to live, to allow for the delay between a check
// of the ownership and the sending of the data that depends on it.
const expiryMargin = 100 * time.Millisecond

// Options configure an elector.
type Options struct {
	Store store.Store
	Host  string // name of this host
	// Incarnation identifies this process. It is part of the member name, so that a
	// restarted process does not continue the ownership of the former one.
	Incarnation int64
	// CPUShare is this host's share of a core. A host leaves ownership to hosts with a
	// larger share, because the whole work of the scheduler is done by one host.
	CPUShare float64
	TTL      time.Duration // time to live of the membership
	// Owner returns the member that last wrote as the owner, or "" if none is known, and
	// the time since its last record was received. Staleness returns how long ago the copy
	// with these records was known to be complete; ok is false before that.
	Owner     func() (member string, silent time.Duration)
	Staleness func() (staleness time.Duration, ok bool)
	Now       boottime.Clock
	Logger    *zap.Logger
}

// Elector takes part in the election of the owner.
type Elector struct {
	Options
	mu          sync.Mutex
	generation  int64
	epoch       int64 // 0 while this host is not the owner
	fencedEpoch int64 // highest epoch that was fenced by a later one
	// confirmedAt is when the last successful join was sent.
	confirmedAt time.Duration
	joinFailing bool // the last join failed
	// joinLatency is the duration of the last successful join, and failedJoins counts the
	// failed ones since.
	joinLatency time.Duration
	failedJoins int
	// isOutranked is set while the owner has a larger CPU share than this host.
	isOutranked atomic.Bool
	changed     chan struct{}

	// The following fields are used only by the goroutine of Run.
	joined    bool          // this host is a member of the group
	vacant    bool          // the partition had no holder at the last query
	queriedAt time.Duration // when the holders were last queried
	heldAt    time.Duration // when this host last held the partition or joined the group
}

// New returns an elector that has not joined the group.
func New(o Options) *Elector { return &Elector{Options: o, changed: make(chan struct{}, 1)} }

// Member returns this host's member name in the group: host, incarnation and CPU share.
func (e *Elector) Member() string {
	return strings.Join([]string{e.Host, strconv.FormatInt(e.Incarnation, 36), strconv.FormatFloat(e.CPUShare, 'f', -1, 64)}, memberSeparator)
}

// memberSeparator separates the parts of a member name.
const memberSeparator = "/"

// cpuShareOf returns the CPU share in a member name, or 0 if it has none.
func cpuShareOf(member string) float64 {
	share, err := strconv.ParseFloat(member[strings.LastIndex(member, memberSeparator)+1:], 64)
	if err != nil {
		return 0
	}
	return share
}

// Changed returns a channel that receives a value after this host has gained or lost
// ownership.
func (e *Elector) Changed() <-chan struct{} { return e.changed }

// Outranked reports whether the owner has a larger CPU share than this host.
func (e *Elector) Outranked() bool { return e.isOutranked.Load() }

// Epoch returns the epoch of this host's ownership, or 0 if it is not the owner.
func (e *Elector) Epoch() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch
}

// Expiry returns the time on the boot-time clock at which the ownership in the epoch
// expires unless it is renewed. ok is false if the epoch has ended.
func (e *Elector) Expiry(epoch int64) (at time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmedAt + e.TTL - expiryMargin, e.epoch == epoch && epoch != 0
}

// MarkFenced ends the ownership in the epoch, because a later epoch was seen.
func (e *Elector) MarkFenced(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fencedEpoch = max(e.fencedEpoch, epoch)
	if e.epoch == epoch {
		e.setEpoch(0, "a later epoch was seen")
	}
}

// Run takes part in the election until the context ends, and then leaves the group.
//
// Only the owner stays in the group, because each change of the membership may reassign
// the partition. The other hosts stand by: they monitor the owner's records and join when
// the owner has left or failed.
func (e *Elector) Run(ctx context.Context) error {
	e.delayFirstJoin(ctx)
	for ctx.Err() == nil {
		if e.joined {
			e.renewMembership(ctx)
			sleep(ctx, e.TTL/joinsPerTTL)
			continue
		}
		e.standBy(ctx)
		sleep(ctx, standbyInterval)
	}
	if e.joined {
		e.leave()
	}
	return ctx.Err()
}

// delayFirstJoin lets hosts with a larger CPU share join first when all hosts start at
// the same time. A host with at least the share of the last owner does not wait.
func (e *Elector) delayFirstJoin(ctx context.Context) {
	delay := time.Duration(float64(maxStartDelay) * max(0, 1-e.CPUShare))
	for waited := time.Duration(0); waited < delay && ctx.Err() == nil; waited += standbyInterval {
		if last, _ := e.Owner(); last != "" && cpuShareOf(last) <= e.CPUShare {
			break
		}
		sleep(ctx, standbyInterval)
	}
	sleep(ctx, rand.N(startJitter))
}

const (
	// maxStartDelay is the delay of a host with a CPU share of 0. The delay decreases
	// linearly to 0 for a host with a whole core.
	maxStartDelay = 1500 * time.Millisecond
	startJitter   = 100 * time.Millisecond
	// standbyInterval is the interval at which a host on standby checks for the owner's
	// records.
	standbyInterval = 80 * time.Millisecond
	// holderQueryInterval is the minimum interval between queries for the holders of the
	// partitions. It delays a takeover in which the owner's silence is not detected.
	holderQueryInterval = time.Second
	// unassignedTimeout is how long a member without the partition stays in the group.
	unassignedTimeout = time.Second
	// joinJitter spreads the joins of hosts that detect an owner's silence at the same
	// time.
	joinJitter = 200 * time.Millisecond
)

// renewMembership renews the membership. It leaves the group if a member with a larger CPU
// share holds a partition, or if this host has not held the partition for a while. It
// returns to standby if the membership has expired.
func (e *Elector) renewMembership(ctx context.Context) {
	now := e.Now()
	if e.confirmedAt != 0 && now-e.confirmedAt > e.TTL {
		e.Logger.Warn("the membership in the group has expired", zap.Duration("since", now-e.confirmedAt))
		e.joined, e.queriedAt = false, 0
		e.standBy(ctx)
		return
	}
	if now-e.queriedAt > 2*holderQueryInterval {
		e.queriedAt = now
		if holders, err := e.queryHolders(ctx); err == nil && e.largerShareHolds(holders) {
			e.leave()
			return
		}
	}
	e.join(ctx)
	if e.Epoch() != 0 {
		e.heldAt = e.Now()
	} else if e.Now()-e.heldAt > unassignedTimeout {
		e.leave()
	}
}

// standBy joins the group if the owner has stopped writing, has left, or has a smaller CPU
// share.
func (e *Elector) standBy(ctx context.Context) {
	silent := e.silentOwner()
	if silent == "" && e.Epoch() == 0 && e.Now()-e.queriedAt < holderQueryInterval {
		return
	}
	if silent != "" {
		sleep(ctx, rand.N(joinJitter))
	}
	holders, err := e.queryHolders(ctx)
	if err != nil {
		return // the error is logged, and the next round queries again
	}
	e.queriedAt = e.Now() - rand.N(holderQueryInterval/4)
	holder := holders[ownerPartition]
	e.isOutranked.Store(cpuShareOf(holder) > e.CPUShare)
	if holder != e.Member() {
		e.resign("another member holds the partition")
	}
	if holder == "" && !e.vacant {
		// A host that has just evicted a silent owner joins next. Query once more before
		// joining, to let it.
		e.vacant, e.queriedAt = true, 0
		return
	}
	e.vacant = false
	switch {
	case holder == "" || holder == e.Member() || cpuShareOf(holder) < e.CPUShare:
		e.startMembership(ctx, holder)
	case holder == silent || e.isFormerProcess(holder):
		e.evict(ctx, holder)
		e.startMembership(ctx, holder)
	}
}

// isFormerProcess reports whether the member is an earlier process of this host, which no
// longer runs.
func (e *Elector) isFormerProcess(member string) bool {
	host, _, _ := strings.Cut(member, memberSeparator)
	return host == e.Host
}

// startMembership joins the group as a new member.
func (e *Elector) startMembership(ctx context.Context, holder string) {
	e.Logger.Info("joining the group", zap.String("holder", holder))
	e.joined, e.heldAt = true, e.Now()
	e.join(ctx)
}

// resign ends this host's ownership, if it is the owner.
func (e *Elector) resign(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != 0 {
		e.setEpoch(0, reason)
	}
}

// queryHolders returns the member that holds each partition.
func (e *Elector) queryHolders(ctx context.Context) (map[int]string, error) {
	ctx, cancel := context.WithTimeout(ctx, e.TTL/2)
	defer cancel()
	holders, err := e.Store.Owners(ctx, groupName)
	if err != nil {
		e.Logger.Debug("the holders of the partitions cannot be queried", zap.Error(err))
	}
	return holders, err
}

// largerShareHolds reports whether a member with a larger CPU share than this host holds a
// partition.
func (e *Elector) largerShareHolds(holders map[int]string) bool {
	for _, m := range holders {
		if cpuShareOf(m) > e.CPUShare {
			return true
		}
	}
	return false
}

const (
	// ownerSilenceTimeout is how long an owner must have written nothing before the other
	// hosts evict it: two and a half heartbeat intervals of the owner.
	ownerSilenceTimeout = 500 * time.Millisecond
	// outrankedGrace is added at hosts with a smaller CPU share than the owner, so that a
	// host with a larger share takes over first.
	outrankedGrace = 600 * time.Millisecond
	// maxCopyStaleness is the staleness of the copy up to which missing records mean that
	// the owner is silent.
	maxCopyStaleness = 600 * time.Millisecond
)

// silenceLatencyFactor times the latency of the store is added to ownerSilenceTimeout, to
// allow for a slow store.
const silenceLatencyFactor = 4

// silentOwner returns the last owner if it has stopped writing, or "".
func (e *Elector) silentOwner() string {
	member, silent := e.Owner()
	staleness, ok := e.Staleness()
	minSilence := ownerSilenceTimeout + silenceLatencyFactor*e.joinLatency
	if e.Outranked() {
		minSilence += outrankedGrace
	}
	// Records that the owner wrote after the last complete read are unknown here, so only
	// the silence before that read counts.
	if member == e.Member() || !ok || staleness > maxCopyStaleness || silent-staleness < minSilence {
		return ""
	}
	return member
}

// evict removes a silent owner from the group before its membership expires. If the owner
// is alive after all, the epoch of the next owner fences it.
func (e *Elector) evict(ctx context.Context, member string) {
	e.Logger.Warn("removing the silent owner from the group", zap.String("owner", member))
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := e.Store.Leave(ctx, store.JoinRequest{Group: groupName, Member: member}); err != nil {
		e.Logger.Warn("the silent owner could not be removed from the group", zap.String("owner", member), zap.Error(err))
	}
}

// sleep waits until d has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (e *Elector) joinRequest() store.JoinRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return store.JoinRequest{Group: groupName, Member: e.Member(), Topic: topicName, TTL: e.TTL, Generation: e.generation}
}

// join joins the group or renews the membership, and updates the epoch from the result.
func (e *Elector) join(ctx context.Context) {
	request := e.joinRequest()
	ctx, cancel := context.WithTimeout(ctx, min(store.AttemptTimeout(e.failedJoins+1, e.joinLatency), e.TTL/2))
	defer cancel()
	sent := e.Now()
	m, err := e.Store.Join(ctx, request)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.failedJoins++
		e.recordJoinFailure(err)
		return
	}
	e.failedJoins = 0
	if e.joinFailing {
		e.joinFailing = false
		e.Logger.Info("the group can be joined again", zap.Int64("generation", m.Generation))
	}
	e.generation = m.Generation
	e.confirmedAt = sent
	e.joinLatency = e.Now() - sent
	holds := slices.Contains(m.Partitions, ownerPartition)
	switch {
	case !holds && e.epoch != 0:
		e.setEpoch(0, "another member holds the partition")
	case holds && e.epoch == 0 && m.Generation > e.fencedEpoch:
		e.setEpoch(m.Generation, "the partition was assigned to this host")
	case holds && e.epoch == 0:
		// The epoch of this generation is fenced. Leave the group at the next renewal,
		// because only a new generation has a higher epoch.
		e.heldAt = sent - unassignedTimeout
	}
}

// recordJoinFailure logs the first of several failed joins. Ownership continues until the
// membership expires. The caller holds the lock.
func (e *Elector) recordJoinFailure(err error) {
	if !e.joinFailing {
		e.joinFailing = true
		e.Logger.Warn("the group cannot be joined", zap.Int64("epoch", e.epoch), zap.Error(err))
	}
}

// setEpoch changes the epoch and notifies Changed. The caller holds the lock.
func (e *Elector) setEpoch(epoch int64, reason string) {
	e.Logger.Info("ownership changed", zap.Int64("from", e.epoch), zap.Int64("to", epoch), zap.String("why", reason))
	e.epoch = epoch
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// leaveTimeout is the timeout of a call that removes a member from the group.
const leaveTimeout = 500 * time.Millisecond

// leave leaves the group, which ends this host's ownership.
func (e *Elector) leave() {
	e.joined, e.queriedAt = false, 0
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := e.Store.Leave(ctx, e.joinRequest()); err != nil {
		e.Logger.Warn("the group could not be left; the membership ends when its time to live expires", zap.Error(err))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != 0 {
		e.setEpoch(0, "this host left the group")
	}
}
