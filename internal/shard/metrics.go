package shard

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// cause says why an attempt was withdrawn, as the metrics tell it.
type cause string

// Causes of withdrawals.
const (
	causeMemberNotStarted cause = "member_not_started"
	causeMemberStopped    cause = "member_stopped"
	causeNotConfirmed     cause = "not_confirmed"
	causeNotStarted       cause = "not_started"
	causePreempted        cause = "preempted"
	causeTaskFailed       cause = "task_failed"
	causeWorkerLost       cause = "worker_lost"
)

var causes = []cause{
	causeMemberNotStarted, causeMemberStopped, causeNotConfirmed, causeNotStarted,
	causePreempted, causeTaskFailed, causeWorkerLost,
}

// planSamples is how many of the last decisions the quantiles are taken of.
const planSamples = 1024

// Metrics count what the shards of a host do.
type Metrics struct {
	planTime    gometrics.Histogram
	refused     gometrics.Counter
	begun, done gometrics.Counter
	withdrawn   map[cause]gometrics.Counter
}

// NewMetrics registers the metrics "plan.*", "starts.*" and "withdrawals.*".
func NewMetrics(r gometrics.Registry) *Metrics {
	m := &Metrics{
		planTime:  gometrics.GetOrRegisterHistogram("plan.time", r, gometrics.NewUniformSample(planSamples)),
		refused:   gometrics.GetOrRegisterCounter("plan.refused", r),
		begun:     gometrics.GetOrRegisterCounter("starts.begun", r),
		done:      gometrics.GetOrRegisterCounter("starts.done", r),
		withdrawn: map[cause]gometrics.Counter{},
	}
	for _, c := range causes {
		m.withdrawn[c] = gometrics.GetOrRegisterCounter("withdrawals."+string(c), r)
	}
	return m
}

func (m *Metrics) planned(took time.Duration) { m.planTime.Update(took.Microseconds()) }

// withdrew counts a withdrawal. A withdrawal without a cause is a fault of the code, for
// which no planner should end.
func (m *Metrics) withdrew(c cause) {
	if counter := m.withdrawn[c]; counter != nil {
		counter.Inc(1)
	}
}
