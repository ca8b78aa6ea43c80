package judge

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/ledger"
)

// Kind is the kind of a violation.
type Kind string

// Kinds of violations.
const (
	KindLost           Kind = "lost"       // no outcome, or one that contradicts the reply
	KindDuplicated     Kind = "duplicated" // ran more often than allowed, or with mixed-up bodies
	KindPartial        Kind = "partial"    // ran or finished with only a part of the gang
	KindLateStart      Kind = "late_start" // task started in a zone that was out of service
	KindRanAfterCancel Kind = "ran_on"     // tasks ran after the cancellation of their job
	KindLateSend       Kind = "late_send"  // request was sent to a target that was leaving
)

// Violation is one violated invariant. Subject identifies the job or request.
type Violation struct {
	Kind    Kind
	Subject string
	Detail  string
}

// String returns "kind subject: detail".
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Kind, v.Subject, v.Detail) }

// JobCounts counts jobs. Each job counts at most once in the first group, by its
// outcome, and may also count in the second group, by the kind of violation.
type JobCounts struct {
	Completed, Refused, Cancelled, Failed, Unknown int
	Lost, Duplicated, Partial, RanAfterCancel      int
}

// RequestCounts counts requests, by outcome and by kind of violation as JobCounts does.
type RequestCounts struct {
	Answered, Refused, Unknown int
	Lost, Duplicated           int
}

// Report is the result of a check.
type Report struct {
	Jobs       JobCounts
	Requests   RequestCounts
	LateStarts int
	LateSends  int
	Violations []Violation
}

// Clean reports whether there are no violations.
func (r *Report) Clean() bool { return len(r.Violations) == 0 }

// String returns the counts in the format of the last line of the demo.
func (r *Report) String() string {
	jobs, requests := r.Jobs, r.Requests
	return fmt.Sprintf("jobs completed=%d refused=%d cancelled=%d lost=%d duplicated=%d partial=%d; "+
		"requests answered=%d refused=%d unknown=%d lost=%d duplicated=%d; late starts after zone out=%d",
		jobs.Completed, jobs.Refused, jobs.Cancelled, jobs.Lost, jobs.Duplicated, jobs.Partial,
		requests.Answered, requests.Refused, requests.Unknown, requests.Lost, requests.Duplicated, r.LateStarts)
}

// Check compares the ledger with the callers' history. It must be called after all
// jobs and requests have ended.
func Check(l ledger.Ledger, h History) Report {
	r := &Report{}
	r.checkJobs(l, h)
	r.checkRequests(l, h)
	r.checkZoneOuts(l, h)
	r.checkLeavingTargets(l)
	return *r
}

// addViolation adds a violation and increments its count.
func (r *Report) addViolation(count *int, kind Kind, subject, format string, args ...any) {
	*count++
	r.Violations = append(r.Violations, Violation{Kind: kind, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}
