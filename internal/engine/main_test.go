package engine_test

import (
	"os"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
)

// TestMain starts the clock goroutine of the metrics library outside the synctest bubbles.
// In a bubble this goroutine would keep the virtual time from advancing.
func TestMain(m *testing.M) {
	gometrics.NewTimer().Stop()
	os.Exit(m.Run())
}
