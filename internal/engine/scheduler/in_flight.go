package scheduler

import "time"

// maxInFlight limits each of the first polls, the starts and the stops in flight. Hundreds of
// connections and orders at once would keep a host with a small share of a core from its heartbeat,
// so that another host took over and did the same, and would let orders time out before they are
// sent.
const maxInFlight = 64

// answerPatience is the time after which a call without an answer no longer counts as in flight,
// so that workers that cannot be reached do not hold up the others.
const answerPatience = 100 * time.Millisecond

// inFlight holds the calls that are in flight, by what they concern, with the time when they were
// sent.
type inFlight[K comparable] map[K]time.Duration

// isFull reports whether no further call is to be sent.
func (f inFlight[K]) isFull(now time.Duration) bool {
	if len(f) < maxInFlight {
		return false
	}
	for k, sent := range f {
		if now-sent >= answerPatience {
			delete(f, k)
		}
	}
	return len(f) >= maxInFlight
}
