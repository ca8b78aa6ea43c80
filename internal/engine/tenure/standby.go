package tenure

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// standBy joins the group if the owner has stopped writing, has left, or has a smaller CPU
// share.
func (e *Elector) standBy(ctx context.Context) {
	if e.standsBack() || e.Now() < e.nextReadAt {
		return
	}
	e.confirmSilence(ctx)
	silent := e.silentOwner()
	if silent == "" && e.Epoch() == 0 && e.Now()-e.queriedAt < holderQueryInterval {
		return
	}
	if silent != "" {
		sleep(ctx, rand.N(joinJitter))
	}
	holders, err := e.queryHolders(ctx, e.TTL/2)
	e.noteRead(err)
	if err != nil {
		return // the error is logged, and a later round queries again
	}
	e.queriedAt = e.Now() - rand.N(holderQueryInterval/4)
	holder := holders[ownerPartition]
	e.isOutranked.Store(cpuShareOf(holder) > e.CPUShare)
	if holder != e.Member() {
		e.resign("another member holds the partition")
	}
	switch {
	case holder == e.Member():
		e.startMembership(ctx, holder)
	case holder == "" && e.claim(ctx, e.vacancy()):
		e.startMembership(ctx, holder)
	case holder == "":
		e.queriedAt = 0 // another host has claimed the partition; see that it gets it
	case cpuShareOf(holder) < e.CPUShare:
		if e.claim(ctx, "from/"+holder) {
			e.startMembership(ctx, holder)
		}
	case e.isFormerProcess(holder), holder == silent && e.silentOwner() == silent:
		if e.claim(ctx, e.vacancy()) {
			e.replace(ctx, holder)
		}
	}
}

// replace evicts the holder of the partition and joins the group, unless another host has
// replaced the holder in the meantime.
func (e *Elector) replace(ctx context.Context, holder string) {
	e.evict(ctx, holder)
	holders, err := e.queryHolders(ctx, e.TTL/2)
	if err != nil {
		return // the error is logged; the next round finds the partition vacant
	}
	if next := holders[ownerPartition]; next != "" && next != holder {
		e.Logger.Info("another host has replaced the owner", zap.String("former", holder), zap.String("owner", next))
		return
	}
	e.startMembership(ctx, holder)
}

// isFormerProcess reports whether the member is an earlier process of this host, which no
// longer runs.
func (e *Elector) isFormerProcess(member string) bool {
	host, _, _ := strings.Cut(member, memberSeparator)
	return host == e.Host
}

// startMembership joins the group as a new member. Of several hosts that join at the same
// time, those that do not get the partition leave at once, before the holder renews its
// membership and the store moves the partition.
func (e *Elector) startMembership(ctx context.Context, holder string) {
	e.Logger.Info("joining the group", zap.String("holder", holder))
	e.joined, e.heldAt = true, e.Now()
	e.join(ctx)
	if e.Epoch() == 0 {
		_, _ = e.leaveToHolder(ctx) // an error is logged, and the next renewal queries again
	}
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

// silentOwner returns the last owner if it has stopped writing, or "". Records that the
// owner wrote after the last complete read are unknown here, so only the silence before
// that read counts.
func (e *Elector) silentOwner() string {
	member, silent := e.Owner()
	staleness, ok := e.Staleness()
	if member == e.Member() || !ok || staleness > maxCopyStaleness || silent-staleness < e.minSilence() {
		return ""
	}
	return member
}

// minSilence returns how long the owner must have written nothing to be replaced.
func (e *Elector) minSilence() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := ownerSilenceTimeout + silenceLatencyFactor*e.storeLatency
	if e.Outranked() {
		d += outrankedGrace
	}
	return d
}

// confirmSilence reads the owner's latest records if the copy holds none that are recent,
// so that silentOwner does not have to wait for the next read. Outranked hosts read
// seldom, so their copy is often old; they leave it to the others.
func (e *Elector) confirmSilence(ctx context.Context) {
	member, silent := e.Owner()
	if member == "" || member == e.Member() || e.Outranked() || silent < e.minSilence() || e.silentOwner() != "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.TTL/2)
	defer cancel()
	err := e.Refresh(ctx)
	e.noteRead(err)
	if err != nil {
		e.Logger.Debug("the owner's records cannot be read", zap.Error(err))
	}
}

// maxRefusalDelay bounds the delay after refused reads, which begins with standbyInterval and
// doubles with each refusal.
const maxRefusalDelay = 8 * standbyInterval

// noteRead postpones further reads on standby if the store has refused one: all hosts share its
// limit on the rate of reads.
func (e *Elector) noteRead(err error) {
	if !errors.Is(err, store.ErrRefused) {
		e.refusals = 0
		return
	}
	delay := min(standbyInterval<<min(e.refusals, 10), maxRefusalDelay)
	e.refusals++
	e.nextReadAt = e.Now() + delay/2 + rand.N(delay)
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
