package routing

import "time"

// TargetCounts holds the number of targets by state. A target that is leaving can also
// have an open breaker.
type TargetCounts struct {
	Listed      int
	Leaving     int
	BreakerOpen int
}

// TargetCounts returns the number of the router's targets by state at now.
func (r *Router) TargetCounts(now time.Time) TargetCounts {
	counts := TargetCounts{Listed: len(r.targets)}
	for _, s := range r.targets {
		if s.leaving(now) {
			counts.Leaving++
		}
		if s.breaker.isOpen() {
			counts.BreakerOpen++
		}
	}
	return counts
}
