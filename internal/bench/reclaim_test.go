package bench

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestGuaranteesCanBeClaimed guards against shards in which an organisation cannot claim
// an unused guaranteed shape although no finding reports it.
func TestGuaranteesCanBeClaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if n := CountReclaimViolations(rand.New(rand.NewPCG(seed, 0))); n > 0 {
			t.Fatalf("%d guaranteed shapes cannot be claimed", n)
		}
	})
}
