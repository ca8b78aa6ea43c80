package metrics

import (
	"fmt"
	"strings"
)

// Entry describes one metric.
type Entry struct {
	// Name is the name in the registry; ExportedName returns the exported one.
	Name    string
	Unit    string
	Meaning string
}

// ExportedName returns the name that scrapers see.
func (e Entry) ExportedName() string { return exportedName(e.Name) }

// Catalog lists all metrics of a daemon. A test compares it with the registry.
var Catalog = []Entry{
	{"calls.active", "calls", "Calls and their background appends in progress."},
	{"calls.answered", "calls", "Ended with the complete response of a target."},
	{"calls.attempts", "attempts", "Calls to targets, retries included."},
	{"calls.lost_records", "records", "Outcomes and cancellations that could not be appended; a retry at another host gets `unknown`."},
	{"calls.not_run", "calls", "Ended with `not_run`: rejected, or failed before the work ran."},
	{"calls.ran", "calls", "Ended with `ran`, without the response."},
	{"calls.requests", "calls", "Submitted to this host."},
	{"calls.retries", "attempts", "Attempts after the first one of a call; at most about 0.1 of `calls.attempts`."},
	{"calls.shed", "calls", "Rejected with code `overloaded`: no target was free in time."},
	{"calls.unknown", "calls", "Ended with `unknown`."},
	{"config.version", "version", "Version in force at this host; 0 means none. It is the same on all hosts within seconds."},
	{"evidence.ok", "0 or 1", "1 while this host may start tasks in its zone. 0 without a recent read of the configuration, and while the zone is out of service or a change that takes it out is pending."},
	{"hostlist.bytes_received", "bytes", "From the host list, headers included."},
	{"hostlist.bytes_sent", "bytes", "To the host list, headers included."},
	{"jobs.cancelled", "jobs", "Cancelled in the last hour."},
	{"jobs.failed", "jobs", "Failed in the last hour."},
	{"jobs.finished", "jobs", "Finished in the last hour."},
	{"jobs.running", "jobs", "Running in the whole deployment, as read from the log."},
	{"jobs.starting", "jobs", "Placed, with at least one member that has not started."},
	{"jobs.waiting", "jobs", "Waiting in the whole deployment."},
	{"log.append_failures", "appends", "Appends to the log service that failed or whose response was lost."},
	{"log.appends", "appends", "Appends sent to the log service by this host; each contains all records that were waiting."},
	{"log.bytes_received", "bytes", "From the log service, headers included."},
	{"log.bytes_sent", "bytes", "To the log service, headers included."},
	{"log.copies", "records", "Records held in memory because the log was down when they were written."},
	{"log.queue", "records", "Records of this host that have not been read back from the log."},
	{"log.reachable", "0 or 1", "1 while reads of the log service are answered in time."},
	{"members.alive", "hosts", "Entry hosts that are alive as seen by this host, itself included."},
	{"members.known", "hosts", "Entry hosts that this host knows."},
	{"peer.bytes_received", "bytes", "From the other daemons in both directions of calls, headers and TLS included."},
	{"peer.bytes_sent", "bytes", "To the other daemons in both directions of calls, headers and TLS included."},
	{"plan.refused", "plans", "Plans in which nothing may start: no evidence, too few workers, or the zone is out of service."},
	{"plan.time", "microseconds", "Time of one decision of the planner; bound 5,000 at the 99th percentile."},
	{"shards.owned", "shards", "Shards that this host plans."},
	{"starts.begun", "gangs", "Starts that this host began."},
	{"starts.done", "gangs", "Starts in which every member was confirmed."},
	{"targets.calls", "attempts", "Attempts started on connections to targets."},
	{"targets.crossed", "answers", "Answers that were discarded because they belong to another attempt."},
	{"targets.broken", "attempts", "Attempts without a complete response; the call may have run."},
	{"targets.leaving", "targets", "Targets that are leaving and get no new calls."},
	{"targets.listed", "targets", "Targets in the host list."},
	{"targets.open_breakers", "targets", "Targets that failed and get only probes."},
	{"withdrawals.member_not_started", "gangs", "A member did not start in time."},
	{"withdrawals.member_stopped", "gangs", "A member stopped without finishing or failing by itself."},
	{"withdrawals.not_confirmed", "gangs", "A start could not be confirmed on every worker."},
	{"withdrawals.not_started", "gangs", "The start was abandoned before any member was notified: no evidence, an expired hold, or the zone went out of service."},
	{"withdrawals.preempted", "gangs", "Stopped to make room for guaranteed work."},
	{"withdrawals.task_failed", "gangs", "A task failed by itself."},
	{"withdrawals.worker_lost", "gangs", "A worker was lost."},
	{"worker.bytes_received", "bytes", "From workers, headers included."},
	{"worker.bytes_sent", "bytes", "To workers, headers included."},
}

const referenceIntro = `# Metrics

This page is printed by ` + "`daisyfold docs metrics`" + `. A test compares it with the registry of a
daemon. ` + "`GET /metrics`" + ` on the API address serves the metrics as text, without a key.
` + "`OPERATIONS.md`" + ` describes how to respond to them.

A counter starts at 0 when the daemon starts. ` + "`daisyfold_plan_time`" + ` is a summary with the
quantiles 0.5, 0.95 and 0.99 of the last decisions, its count and its sum.

| name | unit | meaning |
|---|---|---|
`

// Reference returns the reference page of the metrics in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString(referenceIntro)
	for _, e := range Catalog {
		_, _ = fmt.Fprintf(&b, "| `%s` | %s | %s |\n", e.ExportedName(), e.Unit, e.Meaning)
	}
	return b.String()
}
