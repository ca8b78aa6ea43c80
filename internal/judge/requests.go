package judge

import (
	"encoding/json"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

// maxSendAfterLeavingMS limits how long requests may still be sent to a target after it
// began to leave. It is the bound in docs/design.md plus 500 ms for the scheduling of the
// test machine.
const maxSendAfterLeavingMS = 3500

// maxStartAfterZoneOutMS limits how long tasks may still start in a zone after its
// zone-out was acknowledged.
const maxStartAfterZoneOutMS = 3000

// requestKey identifies a request among those of all organisations.
type requestKey struct {
	organisation model.Organisation
	id           string
}

// String returns "organisation/id".
func (k requestKey) String() string { return string(k.organisation) + "/" + k.id }

// checkRequests classifies the callers' requests and checks their executions.
func (r *Report) checkRequests(l ledger.Ledger, h History) {
	executions := map[requestKey][]ledger.Execution{}
	for _, e := range l.Executions {
		key := requestKey{organisation: e.Organisation, id: e.RequestID}
		executions[key] = append(executions[key], e)
	}
	for _, request := range h.Requests {
		key := requestKey{organisation: request.Organisation, id: request.ID}
		r.classifyRequest(request, key, executions[key])
		r.checkRequest(request, key, executions[key])
		delete(executions, key)
	}
	for key, unexpected := range executions {
		r.addViolation(&r.Requests.Duplicated, KindDuplicated, key.String(), "%d executions of a request that no caller sent", len(unexpected))
	}
}

// classifyRequest counts the request under its outcome.
func (r *Report) classifyRequest(request Request, key requestKey, executions []ledger.Execution) {
	switch request.Reply {
	case ReplyAnswered, ReplyRan:
		r.Requests.Answered++
		if len(executions) == 0 {
			r.addViolation(&r.Requests.Lost, KindLost, key.String(), "replied %s, but no target ran it", request.Reply)
		}
	case ReplyNotRun:
		r.Requests.Refused++
	case ReplyUnknown:
		r.Requests.Unknown++
	default:
		r.addViolation(&r.Requests.Lost, KindLost, key.String(), "the caller got no reply; %d executions", len(executions))
	}
}

// checkRequest counts a request once if it ran more often than allowed, got the
// response to another request, or ran with another body.
func (r *Report) checkRequest(request Request, key requestKey, executions []ledger.Execution) {
	count, subject := &r.Requests.Duplicated, key.String()
	switch {
	case request.NonRepeatable && len(executions) > 1:
		r.addViolation(count, KindDuplicated, subject, "non-repeatable, but ran %d times", len(executions))
	case request.Reply == ReplyNotRun && len(executions) > 0:
		r.addViolation(count, KindDuplicated, subject, "replied not_run, but ran %d times", len(executions))
	case request.Reply == ReplyAnswered && !responseMatches(request):
		r.addViolation(count, KindDuplicated, subject, "got the response to another request: %.200s", request.Body)
	case hasOtherBody(request, executions):
		r.addViolation(count, KindDuplicated, subject, "a target ran it with another body")
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
func (r *Report) checkZoneOuts(l ledger.Ledger, h History) {
	for i, zoneOut := range h.ZoneChanges {
		if zoneOut.InService || zoneOut.AcknowledgedUnixMS == 0 {
			continue
		}
		from, until := zoneOut.AcknowledgedUnixMS+maxStartAfterZoneOutMS, nextZoneIn(h.ZoneChanges[i+1:], zoneOut.Zone)
		for _, t := range l.Tasks {
			if t.Zone == zoneOut.Zone && t.StartUnixMS > from && t.StartUnixMS < until {
				r.addViolation(&r.LateStarts, KindLateStart, t.Job.String(),
					"started in %s %d ms after the zone-out was acknowledged", t.Zone, t.StartUnixMS-zoneOut.AcknowledgedUnixMS)
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
func (r *Report) checkLeavingTargets(l ledger.Ledger) {
	leavingSince := map[model.TargetID]int64{}
	for _, target := range l.LeavingTargets {
		leavingSince[target.Target] = target.SinceUnixMS
	}
	for _, e := range l.Executions {
		since, leaving := leavingSince[e.Target]
		if leaving && e.StartUnixMS > since+maxSendAfterLeavingMS {
			r.addViolation(&r.LateSends, KindLateSend, e.RequestID, "sent to %s %d ms after it began to leave", e.Target, e.StartUnixMS-since)
		}
	}
}
