package tenure

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// renewMembership renews the membership. It leaves the group instead if another member
// holds the partition rightfully, or if this host has not held it for a while. A member
// that was evicted must not join again: that would make the store deal the partitions
// anew, which can take ownership away from the host that has just taken over. So it does
// not join while it cannot query the holders.
func (e *Elector) renewMembership(ctx context.Context) {
	now := e.Now()
	if e.confirmedAt != 0 && now-e.confirmedAt > e.TTL {
		e.Logger.Warn("the membership in the group has expired", zap.Duration("since", now-e.confirmedAt))
		e.joined, e.queriedAt = false, 0
		e.standBy(ctx)
		return
	}
	left, err := e.leaveToHolder(ctx)
	if err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.failedJoins++
		e.recordJoinFailure(err)
		return
	}
	if left {
		return
	}
	e.join(ctx)
	if e.Epoch() != 0 {
		e.heldAt = e.Now()
	} else if e.Now()-e.heldAt > unassignedTimeout {
		e.leave()
	}
}

// leaveToHolder leaves the group if another member holds the partition and has at least
// this host's CPU share, or if a member with a larger share holds any partition. It
// reports whether it did. The error means that the holders are unknown.
func (e *Elector) leaveToHolder(ctx context.Context) (left bool, err error) {
	holders, err := e.queryHolders(ctx, e.attemptTimeout())
	if err != nil {
		return false, err
	}
	holder := holders[ownerPartition]
	displaced := holder != "" && holder != e.Member() && cpuShareOf(holder) >= e.CPUShare
	if !displaced && !e.largerShareHolds(holders) {
		return false, nil
	}
	e.resign("another member holds the partition")
	e.leave()
	return true, nil
}

// resign ends this host's ownership, if it is the owner.
func (e *Elector) resign(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != 0 {
		e.setEpoch(0, reason)
	}
}

// attemptTimeout is the timeout of a call by a member, which must leave time for further
// attempts before the membership expires.
func (e *Elector) attemptTimeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(store.AttemptTimeout(e.failedJoins+1, e.storeLatency), e.TTL/2)
}

// queryHolders returns the member that holds each partition.
func (e *Elector) queryHolders(ctx context.Context, timeout time.Duration) (map[int]string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := e.Now()
	holders, err := e.Store.Owners(ctx, groupName)
	if err != nil {
		e.Logger.Debug("the holders of the partitions cannot be queried", zap.Error(err))
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeLatency = e.Now() - sent
	return holders, nil
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

func (e *Elector) joinRequest() store.JoinRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return store.JoinRequest{Group: groupName, Member: e.Member(), Topic: topicName, TTL: e.TTL, Generation: e.generation}
}

// join joins the group or renews the membership, and updates the epoch from the result.
func (e *Elector) join(ctx context.Context) {
	request := e.joinRequest()
	ctx, cancel := context.WithTimeout(ctx, e.attemptTimeout())
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
	e.storeLatency = e.Now() - sent
	holds := slices.Contains(m.Partitions, ownerPartition)
	switch {
	case !holds && e.epoch != 0:
		e.setEpoch(0, "another member holds the partition")
	case holds && e.epoch == 0 && m.Generation > e.endedEpoch:
		e.setEpoch(m.Generation, "the partition was assigned to this host")
	case holds && e.epoch == 0:
		// The epoch of this generation has ended. Leave the group at the next renewal,
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
