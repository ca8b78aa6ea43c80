package judge

import (
	"encoding/json"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

// maxSendAfterLeavingMS limits how long after the start of a target's leaving
// requests may still be sent to it. It includes 500 ms for the scheduling of the test
// machine.
const maxSendAfterLeavingMS = 3500

// maxStartAfterZoneOutMS limits how long after the acknowledgement of a zone-out tasks
// may still start in the zone.
const maxStartAfterZoneOutMS = 3000

// requestKey identifies a request among those of all organisations.
type requestKey struct {
	organisation model.Organisation
	id           string
}

// String returns "organisation/id".
func (k requestKey) String() string { return string(k.organisation) + "/" + k.id }

// checkRequests classifies the callers' requests and checks their executions.
func (v *Report) checkRequests(l ledger.Ledger, h History) {
	executions := map[requestKey][]ledger.Execution{}
	for _, e := range l.Executions {
		key := requestKey{organisation: e.Organisation, id: e.RequestID}
		executions[key] = append(executions[key], e)
	}
	for _, request := range h.Requests {
		key := requestKey{organisation: request.Organisation, id: request.ID}
		v.classifyRequest(request, key, executions[key])
		v.checkRequest(request, key, executions[key])
		delete(executions, key)
	}
	for key, unexpected := range executions {
		v.addViolation(&v.Requests.Duplicated, KindDuplicated, key.String(), "%d executions of a request that no caller sent", len(unexpected))
	}
}

// classifyRequest counts the request under its outcome.
func (v *Report) classifyRequest(request Request, key requestKey, executions []ledger.Execution) {
	switch request.Reply {
	case ReplyAnswered, ReplyRan:
		v.Requests.Answered++
		if len(executions) == 0 {
			v.addViolation(&v.Requests.Lost, KindLost, key.String(), "replied %s, but no target ran it", request.Reply)
		}
	case ReplyNotRun:
		v.Requests.Refused++
	case ReplyUnknown:
		v.Requests.Unknown++
	default:
		v.addViolation(&v.Requests.Lost, KindLost, key.String(), "the caller got no reply; %d executions", len(executions))
	}
}

// checkRequest counts a request once if it ran more often than allowed, got the
// response to another request, or ran with another body.
func (v *Report) checkRequest(request Request, key requestKey, executions []ledger.Execution) {
	count, subject := &v.Requests.Duplicated, key.String()
	switch {
	case request.NonRepeatable && len(executions) > 1:
		v.addViolation(count, KindDuplicated, subject, "non-repeatable, but ran %d times", len(executions))
	case request.Reply == ReplyNotRun && len(executions) > 0:
		v.addViolation(count, KindDuplicated, subject, "replied not_run, but ran %d times", len(executions))
	case request.Reply == ReplyAnswered && !responseMatches(request):
		v.addViolation(count, KindDuplicated, subject, "got the response to another request: %.200s", request.Body)
	case hasOtherBody(request, executions):
		v.addViolation(count, KindDuplicated, subject, "a target ran it with another body")
	}
}

// responseMatches reports whether the response body belongs to the request.
func responseMatches(request Request) bool {
	var response ledger.ResponseBody
	if json.Unmarshal(request.Body, &response) != nil {
		return false
	}
	return response.RequestID == request.ID &&
		response.Organisation == request.Organisation &&
		response.BodyDigest == request.BodyDigest
}

// hasOtherBody reports whether a target ran the request with a body other than the
// caller's.
func hasOtherBody(request Request, executions []ledger.Execution) bool {
	for _, e := range executions {
		if e.BodyDigest != request.BodyDigest {
			return true
		}
	}
	return false
}

// checkZoneOuts counts task starts in zones that are out of service.
func (v *Report) checkZoneOuts(l ledger.Ledger, h History) {
	for i, out := range h.ZoneChanges {
		if out.InService || out.AcknowledgedUnixMS == 0 {
			continue
		}
		from, until := out.AcknowledgedUnixMS+maxStartAfterZoneOutMS, nextZoneIn(h.ZoneChanges[i+1:], out.Zone)
		for _, t := range l.Tasks {
			if t.Zone == out.Zone && t.StartUnixMS > from && t.StartUnixMS < until {
				v.addViolation(&v.LateStarts, KindLateStart, t.Job.String(),
					"started in %s %d ms after the zone-out was acknowledged", t.Zone, t.StartUnixMS-out.AcknowledgedUnixMS)
			}
		}
	}
}

// nextZoneIn returns the time at which an operator next asked to take the zone back
// into service, in milliseconds since the Unix epoch, or a time in the far future.
func nextZoneIn(later []ZoneChange, zone model.Zone) int64 {
	for _, change := range later {
		if change.Zone == zone && change.InService {
			return change.SentUnixMS
		}
	}
	return 1 << 62
}

// checkLeavingTargets counts requests that were sent to a target too long after it
// began to leave.
func (v *Report) checkLeavingTargets(l ledger.Ledger) {
	leavingSince := map[model.TargetID]int64{}
	for _, target := range l.LeavingTargets {
		leavingSince[target.Target] = target.SinceUnixMS
	}
	for _, e := range l.Executions {
		since, leaving := leavingSince[e.Target]
		if leaving && e.StartUnixMS > since+maxSendAfterLeavingMS {
			v.addViolation(&v.LateSends, KindLateSend, e.RequestID, "sent to %s %d ms after it began to leave", e.Target, e.StartUnixMS-since)
		}
	}
}
