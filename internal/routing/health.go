package routing

import "time"

// Health counts targets.
type Health struct {
	Listed  int
	Leaving int
	Open    int // with an open breaker
}

// Health counts the router's targets by their state.
func (r *Router) Health(now time.Time) Health {
	h := Health{Listed: len(r.targets)}
	for _, s := range r.targets {
		if s.leaving(now) {
			h.Leaving++
		}
		if s.breaker.open() {
			h.Open++
		}
	}
	return h
}
