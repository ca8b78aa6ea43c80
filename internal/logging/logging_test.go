package logging

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestPartPrefix checks that a message begins with the name of its part, also after With.
func TestPartPrefix(t *testing.T) {
	core, observed := observer.New(zap.InfoLevel)
	l := WithPart(zap.New(core), "shard").With(zap.Int("n", 1))
	l.Info("planning begins")
	l.Debug("not written")
	all := observed.All()
	if len(all) != 1 || all[0].Message != "shard: planning begins" {
		t.Fatalf("got %+v", all)
	}
}
