package intake

import "testing"

// TestCombine guards against a refusal, which promises that a call was not executed, after an
// attempt without an answer, and against a refusal of a peer that hides what this host knows.
func TestCombine(t *testing.T) {
	answered := func(o Outcome) Relayed { return Relayed{Answered: true, Answer: Answer{Outcome: o}} }
	for _, c := range []struct {
		operation Operation
		local     Outcome
		relayed   Relayed
		want      Outcome
	}{
		{Submission, TryLater, answered(OK), OK},
		{Submission, Unknown, answered(OK), OK},
		{Submission, TryLater, answered(BadKey), BadKey},
		{Submission, Unknown, answered(BadKey), Unknown},
		{Submission, Unknown, answered(NoQueue), Unknown},
		{Submission, TryLater, Relayed{}, TryLater},
		{Submission, TryLater, Relayed{MayHaveRun: true}, Unknown},
		{Submission, BadJob, Relayed{MayHaveRun: true}, Unknown},
		{Submission, OK, Relayed{MayHaveRun: true}, OK},
		{Submission, TryLater, Relayed{Answered: true, Answer: Answer{Outcome: BadKey}, MayHaveRun: true}, Unknown},
		{Cancellation, Unknown, answered(NoJob), NoJob},
		{StatusQuery, TryLater, Relayed{MayHaveRun: true}, TryLater},
		{StatusQuery, OK, answered(BadKey), OK},
		{StatusQuery, OK, answered(OK), OK},
	} {
		if got := combine(c.operation, Answer{Outcome: c.local}, c.relayed); got.Outcome != c.want {
			t.Errorf("%s: %s here and %+v at peers: got %s, want %s", c.operation, c.local, c.relayed, got.Outcome, c.want)
		}
	}
}
