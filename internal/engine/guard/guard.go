// Package guard bounds what callers can make a host hold: request bodies in memory, calls in
// progress and connections. Load beyond the bounds is refused at once, so that a crowd of
// clients that keep to no limit neither ends the process nor takes the place of other callers.
package guard

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/metrics"
)

const (
	bytesPerMiB = 1 << 20
	// bodyMemoryDivisor is the share of the process's memory for bodies and what they are
	// decoded to; half of the memory is the heap's soft limit.
	bodyMemoryDivisor = 8
	// connMemoryDivisor is the share of the process's memory for callers' connections.
	connMemoryDivisor = 4
	// connBytes is what an open connection takes: two buffers of 4 KiB, the stacks of its
	// goroutine and its request.
	connBytes = 24 << 10
	// callBytes is what a call in progress takes on top: the largest header, and its copy.
	callBytes = 32 << 10
	// minCalls keeps a small host useful.
	minCalls = 64
)

const (
	// fileDescriptors is the number of descriptors that the platform keeps for files.
	fileDescriptors = 200
	// maxOutgoingReserve is the number of descriptors that are kept free for connections to
	// the store and to workers, one or more each, before they are used.
	maxOutgoingReserve = 512
	// MaxOperationConns bounds the connections of the readiness and the metrics endpoint, each.
	MaxOperationConns = 16
	// MaxPeerConns bounds the connections of other hosts that relay calls.
	MaxPeerConns = 48
	// otherDescriptors are the listeners, the poller and connections that are being accepted.
	otherDescriptors = 16
	// minConnsDivisor bounds what the connections of the host itself take from callers.
	minConnsDivisor = 8
)

// Options are the limits of the process.
type Options struct {
	MemoryMB       int // 0 means no limit
	MaxDescriptors int // 0 means no limit
	// OutgoingConns returns the number of connections that the host has opened itself.
	OutgoingConns func() int
	Metrics       gometrics.Registry
	Logger        *zap.Logger
}

// Guard holds the bounds of a process and what is in use.
type Guard struct {
	Options
	budget   *budget
	memory   *memoryGauge
	maxCalls int64
	calls    atomic.Int64

	mu      sync.Mutex
	refused map[Reason]int64 // since the last log line
	logged  time.Time
}

// Reason says why a request or a connection was refused.
type Reason string

// Reasons of refusals, which are also names of metrics.
const (
	Unread      Reason = "unread" // refused by its header, with a large body unread
	TooLarge    Reason = "too_large"
	Memory      Reason = "memory"
	Calls       Reason = "calls"
	Stalled     Reason = "stalled"
	Connections Reason = "connections"
)

// logInterval is the minimum time between two log lines about refusals.
const logInterval = time.Second

// New returns a guard for the given limits.
func New(o Options) *Guard {
	g := &Guard{Options: o, maxCalls: math.MaxInt64, refused: map[Reason]int64{}}
	memory := int64(math.MaxInt64)
	if o.MemoryMB > 0 {
		memory = int64(o.MemoryMB) * bytesPerMiB
		g.maxCalls = max(memory/bodyMemoryDivisor/callBytes, minCalls)
	}
	g.memory = newMemoryGauge(memory)
	g.budget = newBudget(memory/bodyMemoryDivisor, time.Now)
	g.budget.maxBodies = g.maxCalls / maxOwnerShare
	metrics.RegisterGauge(o.Metrics, "guard.body_bytes", g.budget.inUse)
	metrics.RegisterGauge(o.Metrics, "guard.calls", g.calls.Load)
	return g
}

// MaxConns returns how many connections callers may have open now.
func (g *Guard) MaxConns() int {
	limit := math.MaxInt
	if g.MemoryMB > 0 {
		limit = g.MemoryMB * bytesPerMiB / connMemoryDivisor / connBytes
	}
	if g.MaxDescriptors > 0 {
		limit = min(limit, g.maxConnsByDescriptors())
	}
	return limit
}

// maxConnsByDescriptors leaves room for the connections that the host opens itself, and for
// an eighth more of them than it has.
func (g *Guard) maxConnsByDescriptors() int {
	sockets := max(g.MaxDescriptors-fileDescriptors, 1)
	outgoing := g.OutgoingConns()
	reserve := max(outgoing+outgoing/8, min(maxOutgoingReserve, sockets/4)) + 2*MaxOperationConns + MaxPeerConns + otherDescriptors
	return max(sockets-reserve, sockets/minConnsDivisor)
}

// MaxReceiving returns how many connections may be receiving the header of a request, which
// takes up to callBytes.
func (g *Guard) MaxReceiving() int { return int(min(g.maxCalls, math.MaxInt)) }

// Begin takes a place for a call and reports whether there was one. Each call that got one
// must call End.
func (g *Guard) Begin() bool {
	if g.calls.Add(1) <= g.maxCalls {
		return true
	}
	g.calls.Add(-1)
	g.budget.giveUpStalled()
	g.Refuse(Calls)
	return false
}

// End returns the place of a call.
func (g *Guard) End() { g.calls.Add(-1) }

// Refuse counts a refusal, and logs those of the last second.
func (g *Guard) Refuse(reason Reason) {
	gometrics.GetOrRegisterCounter("guard.refused."+string(reason), g.Metrics).Inc(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused[reason]++
	now := time.Now()
	if now.Sub(g.logged) < logInterval {
		return
	}
	g.Logger.Warn("refused clients beyond the limits", zap.Any("since_last_line", g.refused),
		zap.Int64("body_bytes", g.budget.inUse()), zap.Int64("calls", g.calls.Load()))
	g.refused, g.logged = map[Reason]int64{}, now
}
