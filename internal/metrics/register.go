package metrics

import gometrics "github.com/rcrowley/go-metrics"

// RegisterGauge registers a gauge whose value is obtained from read at each scrape.
func RegisterGauge(r gometrics.Registry, name string, read func() int64) {
	r.GetOrRegister(name, gometrics.NewFunctionalGauge(read))
}

// RegisterCounter registers a counter that is maintained elsewhere. Its value is obtained
// from read at each scrape.
func RegisterCounter(r gometrics.Registry, name string, read func() int64) {
	r.GetOrRegister(name, counterFunc{read})
}

// counterFunc implements a read-only gometrics.Counter: Clear, Dec and Inc do nothing. It is
// a struct because a registry calls values that are functions.
type counterFunc struct{ read func() int64 }

// Count implements gometrics.Counter.
func (f counterFunc) Count() int64 { return f.read() }

// Clear implements gometrics.Counter.
func (counterFunc) Clear() {}

// Dec implements gometrics.Counter.
func (counterFunc) Dec(int64) {}

// Inc implements gometrics.Counter.
func (counterFunc) Inc(int64) {}

// Snapshot implements gometrics.Counter.
func (f counterFunc) Snapshot() gometrics.Counter { return gometrics.CounterSnapshot(f.read()) }

// BoolValue returns 1 for true and 0 for false.
func BoolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
