package bench

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every CI run checks the same
// cases. -rapid.seed=N sets another seed.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set("1")
	}
	flag.Parse()
	os.Exit(m.Run())
}
