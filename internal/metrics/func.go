package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Gauge registers a gauge that is read when it is served.
func Gauge(r gometrics.Registry, name string, read func() int64) {
	r.GetOrRegister(name, gometrics.NewFunctionalGauge(read))
}

// Counter registers a counter that another part keeps and that is read when it is
// served.
func Counter(r gometrics.Registry, name string, read func() int64) {
	r.GetOrRegister(name, counterFunc{read})
}

// counterFunc implements gometrics.Counter; it cannot be changed. It is a struct because
// a registry calls values that are functions.
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

// Flag returns 1 for true and 0 for false.
func Flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
