// Package controller runs controllers on a fixed pool of goroutines. A controller
// is a function that reads and writes the shared tables. It runs when it is
// triggered and at a fixed interval, and never twice at the same time.
package controller

import (
	"context"
	"sync"
	"time"
)

// Func is one pass of a controller. It returns when its work is done or the
// context ends.
type Func func(ctx context.Context)

// Pool runs controllers.
type Pool struct {
	workers int
	queue   chan *Handle
	mu      sync.Mutex
	all     []*Handle
}

// queueLength bounds triggered controllers that wait for a goroutine. A handle is
// queued at most once, so this is also the highest number of controllers.
const queueLength = 1024

// NewPool returns a pool of the given number of goroutines.
func NewPool(workers int) *Pool {
	return &Pool{workers: workers, queue: make(chan *Handle, queueLength)}
}

type handleState int

const (
	idle handleState = iota
	queued
	running
	runningAgain // triggered while running
	removed
)

// Handle is a registered controller.
type Handle struct {
	pool  *Pool
	name  string
	run   Func
	every time.Duration

	mu    sync.Mutex
	state handleState
	timer *time.Timer
}

// Register adds a controller that also runs each interval; 0 means only when
// triggered. It is triggered once at registration.
func (p *Pool) Register(name string, every time.Duration, run Func) *Handle {
	h := &Handle{pool: p, name: name, run: run, every: every}
	p.mu.Lock()
	p.all = append(p.all, h)
	p.mu.Unlock()
	h.Trigger()
	return h
}

// Name returns the controller's name.
func (h *Handle) Name() string { return h.name }

// Trigger makes the controller run soon. A trigger during a run causes one more.
func (h *Handle) Trigger() {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.state {
	case idle:
		h.state = queued
		h.pool.queue <- h
	case running:
		h.state = runningAgain
	default:
	}
}

// Remove stops the controller from running again. A run in progress goes on.
func (h *Handle) Remove() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = removed
	if h.timer != nil {
		h.timer.Stop()
	}
}

// Run serves the queue until the context ends and every run has returned.
func (p *Pool) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range p.workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.serve(ctx)
		}()
	}
	wg.Wait()
}

func (p *Pool) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-p.queue:
			h.once(ctx)
		}
	}
}

func (h *Handle) once(ctx context.Context) {
	h.mu.Lock()
	if h.state == removed {
		h.mu.Unlock()
		return
	}
	h.state = running
	h.mu.Unlock()
	h.run(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.state {
	case runningAgain:
		h.state = queued
		h.pool.queue <- h
	case running:
		h.state = idle
		h.schedule()
	default:
	}
}

// schedule sets the timer of the next regular run. The caller holds h.mu.
func (h *Handle) schedule() {
	if h.every <= 0 {
		return
	}
	if h.timer == nil {
		h.timer = time.AfterFunc(h.every, h.Trigger)
		return
	}
	h.timer.Reset(h.every)
}
