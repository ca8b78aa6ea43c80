// Package controller runs controllers on a pool with a fixed number of goroutines. A
// controller is a function that reads and writes the shared tables. It runs when it is
// triggered and at a fixed interval, and never concurrently with itself.
package controller

import (
	"context"
	"sync"
	"time"
)

// Func executes one run of a controller. It returns when its work is done or ctx is done.
type Func func(ctx context.Context)

// Pool runs controllers.
type Pool struct {
	goroutines int
	queue      chan *Handle
	mu         sync.Mutex
	handles    []*Handle
}

// maxControllers is the capacity of a pool's queue. Because each controller is queued at
// most once, Trigger never blocks in a pool with at most this number of controllers.
const maxControllers = 1024

// NewPool returns a pool with the given number of goroutines.
func NewPool(goroutines int) *Pool {
	return &Pool{goroutines: goroutines, queue: make(chan *Handle, maxControllers)}
}

type handleState int

const (
	stateIdle handleState = iota
	stateQueued
	stateRunning
	stateRunningRetriggered // was triggered while running and runs once more
	stateRemoved
)

// Handle is a registered controller. Its methods may be called concurrently.
type Handle struct {
	pool     *Pool
	name     string
	run      Func
	interval time.Duration

	mu    sync.Mutex
	state handleState
	timer *time.Timer
}

// Register adds a controller and triggers it once. After each run the controller is
// triggered again when the interval has passed; with an interval of 0 it runs only when
// triggered.
func (p *Pool) Register(name string, interval time.Duration, run Func) *Handle {
	h := &Handle{pool: p, name: name, run: run, interval: interval}
	p.mu.Lock()
	p.handles = append(p.handles, h)
	p.mu.Unlock()
	h.Trigger()
	return h
}

// Name returns the controller's name.
func (h *Handle) Name() string { return h.name }

// Trigger queues the controller for a run. If the controller is running, it runs once
// more afterwards; if it is queued already or removed, Trigger has no effect.
func (h *Handle) Trigger() {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.state {
	case stateIdle:
		h.state = stateQueued
		h.pool.queue <- h
	case stateRunning:
		h.state = stateRunningRetriggered
	default:
	}
}

// Remove prevents further runs of the controller. A run in progress is not interrupted.
func (h *Handle) Remove() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = stateRemoved
	if h.timer != nil {
		h.timer.Stop()
	}
}

// Run runs queued controllers until ctx is done, and returns when all runs have returned.
func (p *Pool) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range p.goroutines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.runQueued(ctx)
		}()
	}
	wg.Wait()
}

func (p *Pool) runQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-p.queue:
			h.runOnce(ctx)
		}
	}
}

func (h *Handle) runOnce(ctx context.Context) {
	h.mu.Lock()
	if h.state == stateRemoved {
		h.mu.Unlock()
		return
	}
	h.state = stateRunning
	h.mu.Unlock()
	h.run(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.state {
	case stateRunningRetriggered:
		h.state = stateQueued
		h.pool.queue <- h
	case stateRunning:
		h.state = stateIdle
		h.schedule()
	default:
	}
}

// schedule starts the timer of the next periodic run. The caller must hold h.mu.
func (h *Handle) schedule() {
	if h.interval <= 0 {
		return
	}
	if h.timer == nil {
		h.timer = time.AfterFunc(h.interval, h.Trigger)
		return
	}
	h.timer.Reset(h.interval)
}
