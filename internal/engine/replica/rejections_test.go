package replica

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// TestRejectionsAreLoggedOncePerChange guards against a log that an odd record fills by being read again and again, or by changing all the time.
func TestRejectionsAreLoggedOncePerChange(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	now := time.Hour
	registry := gometrics.NewRegistry()
	j := NewRejections("topic", registry, func() time.Duration { return now }, zap.New(core))
	reject := func(value string) { j.Reject(store.Record{Key: "k", Value: []byte(value)}, errors.New("odd")) }
	for range 5 {
		reject("a")
	}
	j.Reject(store.Record{Key: "k", Value: []byte("b")}, errors.New(strings.Repeat("odd", 1<<20)))
	if line := logs.All()[1].ContextMap()["reason"].(string); len(line) > maxReasonBytes {
		t.Errorf("a reason of %d bytes is logged", len(line))
	}
	j.Accept("k")
	reject("b")
	if n := logs.Len(); n != 3 {
		t.Errorf("%d lines for three changes", n)
	}
	for i := range 1000 {
		reject(fmt.Sprint(i))
	}
	if n := logs.Len(); n != maxRejectionLogs {
		t.Errorf("%d lines within a minute", n)
	}
	now += rejectionLogWindow
	reject("c")
	if n := logs.Len(); n != maxRejectionLogs+1 {
		t.Errorf("%d lines after the minute", n)
	}
	if n := gometrics.GetOrRegisterCounter("replica.rejected.topic", registry).Count(); n != 1008 {
		t.Errorf("%d rejections counted, want 1008", n)
	}
}
