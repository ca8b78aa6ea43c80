package logging

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestPartPrefix guards against lines that do not tell which part wrote them.
func TestPartPrefix(t *testing.T) {
	core, seen := observer.New(zap.InfoLevel)
	l := Part(zap.New(core), "shard").With(zap.Int("n", 1))
	l.Info("planning begins")
	l.Debug("not written")
	all := seen.All()
	if len(all) != 1 || all[0].Message != "shard: planning begins" {
		t.Fatalf("got %+v", all)
	}
}
