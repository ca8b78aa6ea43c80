package judge

import (
	"encoding/json"
	"testing"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

var key = model.JobKey{Organisation: "schools", ID: "j1"}

// run is a task of attempt number that ran from start to end.
func run(number, index int, start, end int64, how ledger.End) ledger.TaskRun {
	return ledger.TaskRun{
		Job: key, Attempt: number, Index: index, GangSize: 2,
		Zone: "brest", StartMS: start, EndMS: end, End: how,
	}
}

// whole is an attempt of two members that finished.
func whole(number int, start, end int64) []ledger.TaskRun {
	return []ledger.TaskRun{
		run(number, 0, start, end, ledger.EndFinished),
		run(number, 1, start, end, ledger.EndFinished),
	}
}

func gang(reply Reply, state model.JobState) Job {
	return Job{Key: key, Tasks: 2, Expected: FateComplete, Reply: reply, State: state}
}

// TestJobs guards against a judge that misses a broken promise about a job, or
// that reports one which was kept.
func TestJobs(t *testing.T) {
	accepted := gang(ReplyAccepted, model.JobFinished)
	once := accepted
	once.NonRepeatable = true
	cancelled := Job{Key: key, Tasks: 2, Expected: FateCancel, Reply: ReplyAccepted, CancelAccepted: true, State: model.JobCancelled}
	stopped := func(number int, start, end int64) []ledger.TaskRun {
		return []ledger.TaskRun{run(number, 0, start, end, ledger.EndStopped), run(number, 1, start, end, ledger.EndStopped)}
	}
	cases := []struct {
		name  string
		job   Job
		tasks []ledger.TaskRun
		want  JobCounts
	}{
		{"completed", accepted, whole(1, 1000, 2000), JobCounts{Completed: 1}},
		{"withdrawn and completed", accepted, append(stopped(1, 0, 3000), whole(2, 3100, 9000)...), JobCounts{Completed: 1}},
		{"refused", gang(ReplyNotRun, ""), nil, JobCounts{Refused: 1}},
		{"cancelled", cancelled, stopped(1, 0, 9000), JobCounts{Cancelled: 1}},
		{"never ran", gang(ReplyAccepted, model.JobWaiting), nil, JobCounts{Lost: 1}},
		{"failed wrongly", gang(ReplyAccepted, model.JobFailed), whole(1, 0, 1000), JobCounts{Completed: 1, Lost: 1}},
		{"refused but ran", gang(ReplyNotRun, ""), whole(1, 0, 1000), JobCounts{Refused: 1, Duplicated: 1}},
		{"completed twice", accepted, append(whole(1, 0, 1000), whole(2, 2000, 3000)...), JobCounts{Completed: 1, Duplicated: 1}},
		{"one attempt number twice", accepted, append(whole(1, 0, 5000), stopped(1, 20000, 21000)...), JobCounts{Completed: 1, Duplicated: 1}},
		{"overlap", accepted, append(stopped(1, 0, 9000), whole(2, 5000, 9000)...), JobCounts{Completed: 1, Duplicated: 1}},
		{"short overlap", accepted, append(stopped(1, 0, 7000), whole(2, 5000, 9000)...), JobCounts{Completed: 1}},
		{"non-repeatable twice", once, append(stopped(1, 0, 1000), whole(2, 5000, 9000)...), JobCounts{Completed: 1, Duplicated: 1}},
		{"half a gang", accepted, append(whole(2, 9000, 9900), run(1, 0, 0, 3600, ledger.EndStopped)), JobCounts{Completed: 1, Partial: 1}},
		{"half a gang, shortly", accepted, append(whole(2, 9000, 9900), run(1, 0, 0, 3000, ledger.EndLapsed)), JobCounts{Completed: 1}},
		{"finished by half", accepted, []ledger.TaskRun{run(1, 0, 0, 100, ledger.EndFinished)}, JobCounts{Lost: 1}},
		{"cancelled job said to be finished", func() Job { j := cancelled; j.State = model.JobFinished; return j }(), nil, JobCounts{Cancelled: 1, Partial: 1}},
		{"member failed, other ran on", accepted, append(whole(2, 20000, 21000),
			run(1, 0, 0, 1000, ledger.EndFailed), run(1, 1, 0, 5000, ledger.EndStopped)), JobCounts{Completed: 1, Partial: 1}},
		{"worker lost, other stopped in time", accepted, append(whole(2, 20000, 21000),
			run(1, 0, 0, 1000, ledger.EndLost), run(1, 1, 0, 12000, ledger.EndStopped)), JobCounts{Completed: 1}},
		{"worker lost, other ran on", accepted, append(whole(2, 20000, 21000),
			run(1, 0, 0, 1000, ledger.EndLost), run(1, 1, 0, 14000, ledger.EndStopped)), JobCounts{Completed: 1, Partial: 1}},
		{"late member", accepted, []ledger.TaskRun{run(1, 0, 0, 9000, ledger.EndFinished), run(1, 1, 4000, 13000, ledger.EndFinished)}, JobCounts{Completed: 1, Partial: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := Judge(ledger.Ledger{NowMS: 30_000, Tasks: c.tasks}, History{Jobs: []Job{c.job}})
			if v.Jobs != c.want {
				t.Errorf("got %+v, want %+v; %v", v.Jobs, c.want, v.Findings)
			}
			broken := c.want.Lost + c.want.Duplicated + c.want.Partial
			if v.Clean() != (broken == 0) {
				t.Errorf("clean is %v with %d broken promises", v.Clean(), broken)
			}
		})
	}
}

// TestUnknownJob guards against work that no caller asked for.
func TestUnknownJob(t *testing.T) {
	v := Judge(ledger.Ledger{Tasks: whole(1, 0, 100)}, History{})
	if v.Jobs.Duplicated != 1 || v.Clean() {
		t.Errorf("got %+v", v)
	}
}

// TestRequests guards against a judge that misses a broken promise about a
// request, or that reports one which was kept.
func TestRequests(t *testing.T) {
	body := func(id, digest string) []byte {
		data, _ := json.Marshal(ledger.AnswerBody{Request: id, Organisation: "schools", BodyDigest: digest})
		return data
	}
	one := ledger.Execution{Request: "r1", Organisation: "schools", BodyDigest: "d1"}
	other := one
	other.BodyDigest = "d2"
	cases := []struct {
		name  string
		reply Reply
		once  bool
		body  []byte
		ran   []ledger.Execution
		want  RequestCounts
	}{
		{"answered", ReplyAnswered, true, body("r1", "d1"), []ledger.Execution{one}, RequestCounts{Answered: 1}},
		{"answered after a retry", ReplyAnswered, false, body("r1", "d1"), []ledger.Execution{one, one}, RequestCounts{Answered: 1}},
		{"ran without a body", ReplyRan, true, nil, []ledger.Execution{one}, RequestCounts{Answered: 1}},
		{"refused", ReplyNotRun, true, nil, nil, RequestCounts{Refused: 1}},
		{"unknown", ReplyUnknown, true, nil, []ledger.Execution{one}, RequestCounts{Unknown: 1}},
		{"told nothing", ReplyNone, false, nil, []ledger.Execution{one}, RequestCounts{Lost: 1}},
		{"answered from nowhere", ReplyAnswered, false, body("r1", "d1"), nil, RequestCounts{Answered: 1, Lost: 1}},
		{"non-repeatable twice", ReplyAnswered, true, body("r1", "d1"), []ledger.Execution{one, one}, RequestCounts{Answered: 1, Duplicated: 1}},
		{"not run but ran", ReplyNotRun, false, nil, []ledger.Execution{one}, RequestCounts{Refused: 1, Duplicated: 1}},
		{"other request's answer", ReplyAnswered, false, body("r2", "d1"), []ledger.Execution{one}, RequestCounts{Answered: 1, Duplicated: 1}},
		{"cut answer", ReplyAnswered, false, body("r1", "d1")[:20], []ledger.Execution{one}, RequestCounts{Answered: 1, Duplicated: 1}},
		{"ran with another body", ReplyRan, false, nil, []ledger.Execution{other}, RequestCounts{Answered: 1, Duplicated: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := Request{Organisation: "schools", ID: "r1", NonRepeatable: c.once, BodyDigest: "d1", Reply: c.reply, Body: c.body}
			v := Judge(ledger.Ledger{Executions: c.ran}, History{Requests: []Request{request}})
			if v.Requests != c.want {
				t.Errorf("got %+v, want %+v; %v", v.Requests, c.want, v.Findings)
			}
		})
	}
}

// TestLateStart guards against a judge that overlooks a start in a zone that is
// out of service, or that counts one before the bound or after the zone-in.
func TestLateStart(t *testing.T) {
	h := History{
		Jobs: []Job{gang(ReplyAccepted, model.JobFinished)},
		Zones: []ZoneChange{
			{Zone: "brest", SentMS: 900, AckMS: 1000},
			{Zone: "vannes", InService: true, SentMS: 5000, AckMS: 5001},
			{Zone: "brest", InService: true, SentMS: 8000, AckMS: 8100},
		},
	}
	for start, want := range map[int64]int{500: 0, 3900: 0, 4100: 2, 7900: 2, 8050: 0} {
		v := Judge(ledger.Ledger{Tasks: whole(1, start, start+100)}, h)
		if v.LateStarts != want {
			t.Errorf("start at %d ms: got %d late starts, want %d", start, v.LateStarts, want)
		}
	}
}

// TestLateSend guards against a judge that overlooks requests to a target that is
// leaving.
func TestLateSend(t *testing.T) {
	l := ledger.Ledger{
		Left:       []ledger.TargetLeft{{Target: "t1", UnixMS: 1000}},
		Executions: []ledger.Execution{{Target: "t1", StartMS: 4000}, {Target: "t1", StartMS: 5000}, {Target: "t2", StartMS: 9000}},
	}
	if v := Judge(l, History{}); v.LateSends != 1 {
		t.Errorf("got %d late sends, want 1", v.LateSends)
	}
}
