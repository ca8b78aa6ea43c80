package replica

import (
	"errors"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// TestOddOperatorRecordKeepsFormer guards against an odd record that replaces the manifest in force, a wave or the zones, also in a load of the newest records.
func TestOddOperatorRecordKeepsFormer(t *testing.T) {
	decode := func(r store.Record) (OperatorChange, error) {
		switch {
		case string(r.Value) == "odd":
			return OperatorChange{}, errors.New("odd")
		case r.Key == "config":
			return OperatorChange{Manifest: &manifest.Manifest{Version: 1}}, nil
		case r.Key == "wave/1":
			return OperatorChange{WaveKey: r.Key, Wave: &Wave{Number: 1}}, nil
		}
		return OperatorChange{Zone: r.Key, ZoneOut: true}, nil
	}
	rejected := NewRejections("topic", gometrics.NewRegistry(), func() time.Duration { return 0 }, zap.NewNop())
	o := NewOperator(decode, rejected, zap.NewNop())
	o.staleness = func() (time.Duration, bool) { return 0, true }
	sound := []store.Record{{Key: "config", Value: []byte("1")}, {Key: "wave/1", Value: []byte("1")}, {Key: "zone", Value: []byte("1")}}
	odd := []store.Record{{Key: "config", Value: []byte("odd")}, {Key: "wave/1", Value: []byte("odd")}, {Key: "zone", Value: []byte("1")}}
	check := func() {
		t.Helper()
		if o.View().Manifest == nil || len(o.Waves()) != 1 || !o.ZonesOut()["zone"] {
			t.Errorf("manifest %v, waves %v, zones %v", o.View().Manifest, o.Waves(), o.ZonesOut())
		}
	}
	o.Reset(sound)
	check()
	o.Apply(odd)
	check()
	o.Reset(odd)
	check()
}
