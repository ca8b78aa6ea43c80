package judge

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/ledger"
)

// Kind is a kind of broken promise.
type Kind string

// Kinds of broken promises.
const (
	KindLost       Kind = "lost"
	KindDuplicated Kind = "duplicated"
	KindPartial    Kind = "partial"
	KindLateStart  Kind = "late_start"
	KindRanOn      Kind = "ran_on"    // tasks of a cancelled job
	KindLateSend   Kind = "late_send" // a request sent to a target that was leaving
)

// Finding is one broken promise.
type Finding struct {
	Kind    Kind
	Subject string
	Detail  string
}

// String returns "kind subject: detail".
func (f Finding) String() string { return fmt.Sprintf("%s %s: %s", f.Kind, f.Subject, f.Detail) }

// JobCounts counts jobs. A job is counted once among completed, refused,
// cancelled, failed and unknown, and may count as broken in addition.
type JobCounts struct {
	Completed, Refused, Cancelled, Failed, Unknown int
	Lost, Duplicated, Partial, RanOn               int
}

// RequestCounts counts requests.
type RequestCounts struct {
	Answered, Refused, Unknown int
	Lost, Duplicated           int
}

// Verdict is the result of a judgement.
type Verdict struct {
	Jobs       JobCounts
	Requests   RequestCounts
	LateStarts int
	LateSends  int
	Findings   []Finding
}

// Clean reports whether no promise was broken.
func (v *Verdict) Clean() bool { return len(v.Findings) == 0 }

// String returns the counts as the last line of the demo shows them.
func (v *Verdict) String() string {
	j, r := v.Jobs, v.Requests
	return fmt.Sprintf("jobs completed=%d refused=%d cancelled=%d lost=%d duplicated=%d partial=%d; "+
		"requests answered=%d refused=%d unknown=%d lost=%d duplicated=%d; late starts after zone out=%d",
		j.Completed, j.Refused, j.Cancelled, j.Lost, j.Duplicated, j.Partial,
		r.Answered, r.Refused, r.Unknown, r.Lost, r.Duplicated, v.LateStarts)
}

// Judge compares the ledger with the callers' history. It is called when no job
// and no request is open any more.
func Judge(l ledger.Ledger, h History) Verdict {
	v := &Verdict{}
	v.judgeJobs(l, h)
	v.judgeRequests(l, h)
	v.judgeZones(l, h)
	v.judgeLeaving(l)
	return *v
}

// broken adds a finding and its count.
func (v *Verdict) broken(count *int, kind Kind, subject, format string, args ...any) {
	*count++
	v.Findings = append(v.Findings, Finding{Kind: kind, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}
