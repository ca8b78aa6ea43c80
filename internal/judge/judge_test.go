package judge

import (
	"encoding/json"
	"testing"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

var key = model.JobKey{Organisation: "schools", ID: "j1"}

// taskRun returns a task of the attempt that ran from start to end, in milliseconds.
func taskRun(attempt, index int, start, end int64, outcome ledger.TaskOutcome) ledger.TaskRun {
	return ledger.TaskRun{
		Job: key, Attempt: attempt, Index: index, GangSize: 2,
		Zone: "brest", StartUnixMS: start, EndUnixMS: end, Outcome: outcome,
	}
}

// finishedGang returns the tasks of an attempt whose two members finished.
func finishedGang(attempt int, start, end int64) []ledger.TaskRun {
	return []ledger.TaskRun{
		taskRun(attempt, 0, start, end, ledger.OutcomeFinished),
		taskRun(attempt, 1, start, end, ledger.OutcomeFinished),
	}
}

// gangJob returns the record of a job with two tasks that must finish.
func gangJob(reply Reply, state model.JobState) Job {
	return Job{Key: key, Tasks: 2, Expected: ExpectComplete, Reply: reply, State: state}
}

// TestCheckJobs guards against missed and false violations of the invariants on jobs.
func TestCheckJobs(t *testing.T) {
	accepted := gangJob(ReplyAccepted, model.JobFinished)
	nonRepeatable := accepted
	nonRepeatable.NonRepeatable = true
	cancelled := Job{Key: key, Tasks: 2, Expected: ExpectCancel, Reply: ReplyAccepted, CancelAccepted: true, State: model.JobCancelled}
	stoppedGang := func(attempt int, start, end int64) []ledger.TaskRun {
		return []ledger.TaskRun{taskRun(attempt, 0, start, end, ledger.OutcomeStopped), taskRun(attempt, 1, start, end, ledger.OutcomeStopped)}
	}
	cases := []struct {
		name  string
		job   Job
		tasks []ledger.TaskRun
		want  JobCounts
	}{
		{"completed", accepted, finishedGang(1, 1000, 2000), JobCounts{Completed: 1}},
		{"completed by the second attempt", accepted, append(stoppedGang(1, 0, 3000), finishedGang(2, 3100, 9000)...), JobCounts{Completed: 1}},
		{"refused", gangJob(ReplyNotRun, ""), nil, JobCounts{Refused: 1}},
		{"cancelled", cancelled, stoppedGang(1, 0, 9000), JobCounts{Cancelled: 1}},
		{"ran for too long after its cancellation", func() Job { j := cancelled; j.CancelledUnixMS = 1000; return j }(), stoppedGang(1, 0, 14000), JobCounts{Cancelled: 1, RanAfterCancel: 1}},
		{"did not run", gangJob(ReplyAccepted, model.JobWaiting), nil, JobCounts{Lost: 1}},
		{"reported as failed although it completed", gangJob(ReplyAccepted, model.JobFailed), finishedGang(1, 0, 1000), JobCounts{Completed: 1, Lost: 1}},
		{"refused but ran", gangJob(ReplyNotRun, ""), finishedGang(1, 0, 1000), JobCounts{Refused: 1, Duplicated: 1}},
		{"completed twice", accepted, append(finishedGang(1, 0, 1000), finishedGang(2, 2000, 3000)...), JobCounts{Completed: 1, Duplicated: 1}},
		{"same attempt started twice", accepted, append(finishedGang(1, 0, 5000), stoppedGang(1, 20000, 21000)...), JobCounts{Completed: 1, Duplicated: 1}},
		{"overlap", accepted, append(stoppedGang(1, 0, 9000), finishedGang(2, 5000, 9000)...), JobCounts{Completed: 1, Duplicated: 1}},
		{"overlap within the limit", accepted, append(stoppedGang(1, 0, 7000), finishedGang(2, 5000, 9000)...), JobCounts{Completed: 1}},
		{"non-repeatable twice", nonRepeatable, append(stoppedGang(1, 0, 1000), finishedGang(2, 5000, 9000)...), JobCounts{Completed: 1, Duplicated: 1}},
		{"partial gang over the limit", accepted, append(finishedGang(2, 9000, 9900), taskRun(1, 0, 0, 3600, ledger.OutcomeStopped)), JobCounts{Completed: 1, Partial: 1}},
		{"partial gang within the limit", accepted, append(finishedGang(2, 9000, 9900), taskRun(1, 0, 0, 3000, ledger.OutcomeLeaseExpired)), JobCounts{Completed: 1}},
		{"only one of two members finished", accepted, []ledger.TaskRun{taskRun(1, 0, 0, 100, ledger.OutcomeFinished)}, JobCounts{Lost: 1}},
		{"cancelled job reported as finished", func() Job { j := cancelled; j.State = model.JobFinished; return j }(), nil, JobCounts{Cancelled: 1, Partial: 1}},
		{"member failed, other not stopped in time", accepted, append(finishedGang(2, 20000, 21000),
			taskRun(1, 0, 0, 1000, ledger.OutcomeFailed), taskRun(1, 1, 0, 5000, ledger.OutcomeStopped)), JobCounts{Completed: 1, Partial: 1}},
		{"worker lost, other stopped in time", accepted, append(finishedGang(2, 20000, 21000),
			taskRun(1, 0, 0, 1000, ledger.OutcomeWorkerLost), taskRun(1, 1, 0, 12000, ledger.OutcomeStopped)), JobCounts{Completed: 1}},
		{"worker lost, other not stopped in time", accepted, append(finishedGang(2, 20000, 21000),
			taskRun(1, 0, 0, 1000, ledger.OutcomeWorkerLost), taskRun(1, 1, 0, 14000, ledger.OutcomeStopped)), JobCounts{Completed: 1, Partial: 1}},
		{"member started late", accepted, []ledger.TaskRun{taskRun(1, 0, 0, 9000, ledger.OutcomeFinished), taskRun(1, 1, 4000, 13000, ledger.OutcomeFinished)}, JobCounts{Completed: 1, Partial: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := Check(ledger.Ledger{NowUnixMS: 30_000, Tasks: c.tasks}, History{Jobs: []Job{c.job}})
			if report.Jobs != c.want {
				t.Errorf("got %+v, want %+v; %v", report.Jobs, c.want, report.Violations)
			}
			violations := c.want.Lost + c.want.Duplicated + c.want.Partial + c.want.RanAfterCancel
			if report.Clean() != (violations == 0) {
				t.Errorf("clean is %v with %d violations", report.Clean(), violations)
			}
		})
	}
}

// TestCheckUnsubmittedJob guards against missing tasks of a job that no caller
// submitted.
func TestCheckUnsubmittedJob(t *testing.T) {
	report := Check(ledger.Ledger{Tasks: finishedGang(1, 0, 100)}, History{})
	if report.Jobs.Duplicated != 1 || report.Clean() {
		t.Errorf("got %+v", report)
	}
}

// TestCheckRequests guards against missed and false violations of the invariants on
// requests.
func TestCheckRequests(t *testing.T) {
	body := func(id, digest string) []byte {
		data, _ := json.Marshal(ledger.ResponseBody{RequestID: id, Organisation: "schools", BodyDigest: digest})
		return data
	}
	execution := ledger.Execution{RequestID: "r1", Organisation: "schools", BodyDigest: "d1"}
	otherBody := execution
	otherBody.BodyDigest = "d2"
	cases := []struct {
		name          string
		reply         Reply
		nonRepeatable bool
		body          []byte
		executions    []ledger.Execution
		want          RequestCounts
	}{
		{"answered", ReplyAnswered, true, body("r1", "d1"), []ledger.Execution{execution}, RequestCounts{Answered: 1}},
		{"answered after a retry", ReplyAnswered, false, body("r1", "d1"), []ledger.Execution{execution, execution}, RequestCounts{Answered: 1}},
		{"ran without a body", ReplyRan, true, nil, []ledger.Execution{execution}, RequestCounts{Answered: 1}},
		{"refused", ReplyNotRun, true, nil, nil, RequestCounts{Refused: 1}},
		{"unknown", ReplyUnknown, true, nil, []ledger.Execution{execution}, RequestCounts{Unknown: 1}},
		{"no reply", ReplyNone, false, nil, []ledger.Execution{execution}, RequestCounts{Lost: 1}},
		{"answered without an execution", ReplyAnswered, false, body("r1", "d1"), nil, RequestCounts{Answered: 1, Lost: 1}},
		{"non-repeatable twice", ReplyAnswered, true, body("r1", "d1"), []ledger.Execution{execution, execution}, RequestCounts{Answered: 1, Duplicated: 1}},
		{"not run but ran", ReplyNotRun, false, nil, []ledger.Execution{execution}, RequestCounts{Refused: 1, Duplicated: 1}},
		{"response to another request", ReplyAnswered, false, body("r2", "d1"), []ledger.Execution{execution}, RequestCounts{Answered: 1, Duplicated: 1}},
		{"truncated response", ReplyAnswered, false, body("r1", "d1")[:20], []ledger.Execution{execution}, RequestCounts{Answered: 1, Duplicated: 1}},
		{"ran with another body", ReplyRan, false, nil, []ledger.Execution{otherBody}, RequestCounts{Answered: 1, Duplicated: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := Request{Organisation: "schools", ID: "r1", NonRepeatable: c.nonRepeatable, BodyDigest: "d1", Reply: c.reply, Body: c.body}
			report := Check(ledger.Ledger{Executions: c.executions}, History{Requests: []Request{request}})
			if report.Requests != c.want {
				t.Errorf("got %+v, want %+v; %v", report.Requests, c.want, report.Violations)
			}
		})
	}
}

// TestCheckLateStart guards against missing a task start in a zone that is out of
// service, and against counting one within the limit or after the zone-in.
func TestCheckLateStart(t *testing.T) {
	h := History{
		Jobs: []Job{gangJob(ReplyAccepted, model.JobFinished)},
		ZoneChanges: []ZoneChange{
			{Zone: "brest", SentUnixMS: 900, AcknowledgedUnixMS: 1000},
			{Zone: "vannes", InService: true, SentUnixMS: 5000, AcknowledgedUnixMS: 5001},
			{Zone: "brest", InService: true, SentUnixMS: 8000, AcknowledgedUnixMS: 8100},
		},
	}
	for start, want := range map[int64]int{500: 0, 3900: 0, 4100: 2, 7900: 2, 8050: 0} {
		report := Check(ledger.Ledger{Tasks: finishedGang(1, start, start+100)}, h)
		if report.LateStarts != want {
			t.Errorf("start at %d ms: got %d late starts, want %d", start, report.LateStarts, want)
		}
	}
}

// TestCheckLateSend guards against missing requests to a target that is leaving.
func TestCheckLateSend(t *testing.T) {
	l := ledger.Ledger{
		LeavingTargets: []ledger.LeavingTarget{{Target: "t1", SinceUnixMS: 1000}},
		Executions:     []ledger.Execution{{Target: "t1", StartUnixMS: 4000}, {Target: "t1", StartUnixMS: 5000}, {Target: "t2", StartUnixMS: 9000}},
	}
	if report := Check(l, History{}); report.LateSends != 1 {
		t.Errorf("got %d late sends, want 1", report.LateSends)
	}
}
