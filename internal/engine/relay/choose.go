package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Delays until a peer is asked again.
const (
	// refusalBackoff follows a refusal: the peer is alive, and its store may be back soon.
	refusalBackoff = 500 * time.Millisecond
	// minSilenceBackoff follows a call without an answer. It doubles with each further one up to
	// maxSilenceBackoff, so that a host that is gone for good costs little.
	minSilenceBackoff = time.Second
	maxSilenceBackoff = time.Minute
	// successMemory is how long a peer that has answered is preferred to others of its zone.
	successMemory = 30 * time.Second
)

// history is what this host has seen of a peer. Times are those of the boot-time clock; 0 means
// never.
type history struct {
	address    string // another address is another process: the rest is void
	answeredAt time.Duration
	avoidUntil time.Duration
	silences   int // calls in a row without an answer
}

func (h *history) answered(now time.Duration) { h.answeredAt, h.avoidUntil, h.silences = now, 0, 0 }

func (h *history) refused(now time.Duration) {
	h.avoidUntil, h.silences = now+refusalBackoff, 0
}

func (h *history) silent(now time.Duration) {
	h.avoidUntil = now + min(minSilenceBackoff<<min(h.silences, 10), maxSilenceBackoff)
	h.silences++
}

// rank returns the peers that may be asked, the best one first: those of this host's zone, since
// bytes between zones are dear; then those that have answered recently; then at random, so that
// hosts without a store do not all ask the same peer.
func rank(peers []Peer, zone string, seen map[string]history, now time.Duration) []Peer {
	type candidate struct {
		peer       Peer
		elsewhere  int // 1 for a peer of another zone
		unproven   int // 1 for a peer that has not answered recently
		randomness uint32
	}
	candidates := make([]candidate, 0, len(peers))
	for _, p := range peers {
		h := seen[p.Host]
		if h.address != p.Address {
			h = history{}
		}
		if now < h.avoidUntil {
			continue
		}
		c := candidate{peer: p, randomness: rand.Uint32()}
		if p.Zone != zone {
			c.elsewhere = 1
		}
		if h.answeredAt == 0 || now-h.answeredAt > successMemory {
			c.unproven = 1
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.elsewhere, b.elsewhere), cmp.Compare(a.unproven, b.unproven), cmp.Compare(a.randomness, b.randomness))
	})
	ranked := make([]Peer, len(candidates))
	for i, c := range candidates {
		ranked[i] = c.peer
	}
	return ranked
}

// pick returns the first ranked peers, up to n. The last one is of another zone if there is one
// and the others are of one zone: a whole zone may have lost the store.
func pick(ranked []Peer, zone string, n int) []Peer {
	if len(ranked) <= n {
		return ranked
	}
	picked := slices.Clone(ranked[:n])
	if i := slices.IndexFunc(ranked, func(p Peer) bool { return p.Zone != zone }); i >= n {
		picked[n-1] = ranked[i]
	}
	return picked
}
