package routing

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that CI results are
// reproducible. Use -rapid.seed=N to run them with another seed.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set("1")
	}
	flag.Parse()
	os.Exit(m.Run())
}
