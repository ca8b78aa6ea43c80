package shard

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// withdrawalCause is why an attempt was withdrawn. Its value is part of a metric's name.
type withdrawalCause string

// Causes of withdrawals.
const (
	causeMemberNotStarted withdrawalCause = "member_not_started"
	causeMemberStopped    withdrawalCause = "member_stopped"
	causeNotConfirmed     withdrawalCause = "not_confirmed"
	causeNotStarted       withdrawalCause = "not_started"
	causePreempted        withdrawalCause = "preempted"
	causeTaskFailed       withdrawalCause = "task_failed"
	causeWorkerLost       withdrawalCause = "worker_lost"
)

var withdrawalCauses = []withdrawalCause{
	causeMemberNotStarted, causeMemberStopped, causeNotConfirmed, causeNotStarted,
	causePreempted, causeTaskFailed, causeWorkerLost,
}

// planTimeSamples is the number of samples from which the quantiles of the plan time are
// computed.
const planTimeSamples = 1024

// Metrics holds the metrics of the shards of a host.
type Metrics struct {
	planTime                     gometrics.Histogram // in microseconds
	plansRefused                 gometrics.Counter
	startsBegun, startsConfirmed gometrics.Counter
	withdrawals                  map[withdrawalCause]gometrics.Counter
}

// NewMetrics registers the metrics "plan.*", "starts.*" and "withdrawals.*".
func NewMetrics(r gometrics.Registry) *Metrics {
	m := &Metrics{
		planTime:        gometrics.GetOrRegisterHistogram("plan.time", r, gometrics.NewUniformSample(planTimeSamples)),
		plansRefused:    gometrics.GetOrRegisterCounter("plan.refused", r),
		startsBegun:     gometrics.GetOrRegisterCounter("starts.begun", r),
		startsConfirmed: gometrics.GetOrRegisterCounter("starts.done", r),
		withdrawals:     map[withdrawalCause]gometrics.Counter{},
	}
	for _, c := range withdrawalCauses {
		m.withdrawals[c] = gometrics.GetOrRegisterCounter("withdrawals."+string(c), r)
	}
	return m
}

func (m *Metrics) recordPlanTime(d time.Duration) { m.planTime.Update(d.Microseconds()) }

// countWithdrawal counts a withdrawal. A withdrawal without a cause is a programming error,
// but it must not crash the planner.
func (m *Metrics) countWithdrawal(c withdrawalCause) {
	if counter := m.withdrawals[c]; counter != nil {
		counter.Inc(1)
	}
}
