// Package tenure elects the host that runs the scheduler, the owner, through membership in
// a group at the store. The election makes a takeover fast but does not guarantee a single
// owner. The epoch of each ownership is a fencing token that makes stale writes and orders
// of a former owner fail.
package tenure

import (
	"context"
	"math/rand/v2"
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

// renewalRetryDelay is the delay before a failed renewal is repeated.
const renewalRetryDelay = 80 * time.Millisecond

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
	Owner func() (member string, silent time.Duration)
	// OwnerOffset returns the offset of the owner's last record, or -1 if none is known.
	OwnerOffset func() int64
	Staleness   func() (staleness time.Duration, ok bool)
	// Refresh makes the copy complete as of the call.
	Refresh func(context.Context) error
	Now     boottime.Clock
	// WallClock returns the time of day.
	WallClock func() time.Time
	Logger    *zap.Logger
}

// Elector takes part in the election of the owner.
type Elector struct {
	Options
	mu         sync.Mutex
	generation int64
	epoch      int64 // 0 while this host is not the owner
	endedEpoch int64 // highest epoch that EndEpoch has ended
	// confirmedAt is when the last successful join was sent.
	confirmedAt time.Duration
	joinFailing bool // the last join failed
	failedJoins int  // failed joins since the last successful one
	// storeLatency is the duration of the last successful call to the store.
	storeLatency time.Duration
	// standBackUntil is the time until which this host does not join the group.
	standBackUntil time.Duration
	// isOutranked is set while the owner has a larger CPU share than this host.
	isOutranked atomic.Bool
	changed     chan struct{}

	// The following fields are used only by the goroutine of Run.
	joined    bool          // this host is a member of the group
	queriedAt time.Duration // when the holders were last queried
	// refusals counts the reads on standby that the store refused in a row, and nextReadAt is the
	// earliest time of the next one.
	refusals   int
	nextReadAt time.Duration
	// heldAt is when this host last held the partition, or joined the group to get it.
	heldAt time.Duration
	// lastClaim is the last claim that was read, and lastClaimAt when it was first read.
	lastClaim   takeoverClaim
	lastClaimAt time.Duration
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

// EndEpoch ends the ownership in the epoch. The host may become the owner again in a later one.
func (e *Elector) EndEpoch(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endedEpoch = max(e.endedEpoch, epoch)
	if e.epoch == epoch {
		e.setEpoch(0, "the term is over")
	}
}

// StandBack keeps this host from becoming the owner for d, so that another one can.
func (e *Elector) StandBack(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.standBackUntil = e.Now() + d
}

// standsBack reports whether StandBack is in effect.
func (e *Elector) standsBack() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Now() < e.standBackUntil
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
			if e.failedJoins > 0 {
				sleep(ctx, renewalRetryDelay)
			} else {
				sleep(ctx, e.TTL/joinsPerTTL)
			}
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

// sleep waits until d has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
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
