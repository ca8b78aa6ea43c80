package bench

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestGuaranteesCanBeClaimed guards against states in which an organisation cannot
// reclaim an unused guaranteed shape that no finding reports.
func TestGuaranteesCanBeClaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if n := CheckState(rand.New(rand.NewPCG(seed, 0))); n > 0 {
			t.Fatalf("%d guaranteed shapes cannot be claimed", n)
		}
	})
}
