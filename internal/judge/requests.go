package judge

import (
	"encoding/json"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

// leavingMS is the bound of the design page on requests to a leaving target, with
// half a second for the scheduling of the test machine.
const leavingMS = 3500

// zoneOutMS is the bound on task starts after a zone-out was acknowledged.
const zoneOutMS = 3000

// requestKey names a request across organisations.
type requestKey struct {
	organisation model.Organisation
	id           string
}

func (k requestKey) String() string { return string(k.organisation) + "/" + k.id }

func (v *Verdict) judgeRequests(l ledger.Ledger, h History) {
	ran := map[requestKey][]ledger.Execution{}
	for _, e := range l.Executions {
		key := requestKey{organisation: e.Organisation, id: e.Request}
		ran[key] = append(ran[key], e)
	}
	for _, request := range h.Requests {
		key := requestKey{organisation: request.Organisation, id: request.ID}
		v.countRequest(request, key, ran[key])
		v.checkRequest(request, key, ran[key])
		delete(ran, key)
	}
	for key, list := range ran {
		v.broken(&v.Requests.Duplicated, KindDuplicated, key.String(), "%d executions of a request that nobody sent", len(list))
	}
}

// countRequest finds the request's outcome.
func (v *Verdict) countRequest(request Request, key requestKey, list []ledger.Execution) {
	switch request.Reply {
	case ReplyAnswered, ReplyRan:
		v.Requests.Answered++
		if len(list) == 0 {
			v.broken(&v.Requests.Lost, KindLost, key.String(), "told %s, but no target ran it", request.Reply)
		}
	case ReplyNotRun:
		v.Requests.Refused++
	case ReplyUnknown:
		v.Requests.Unknown++
	default:
		v.broken(&v.Requests.Lost, KindLost, key.String(), "the caller was told nothing, %d executions", len(list))
	}
}

// checkRequest counts a request once when it ran more often than it may, or when
// its answer is that of another one.
func (v *Verdict) checkRequest(request Request, key requestKey, list []ledger.Execution) {
	count, name := &v.Requests.Duplicated, key.String()
	switch {
	case request.NonRepeatable && len(list) > 1:
		v.broken(count, KindDuplicated, name, "non-repeatable, but ran %d times", len(list))
	case request.Reply == ReplyNotRun && len(list) > 0:
		v.broken(count, KindDuplicated, name, "told not_run, but ran %d times", len(list))
	case request.Reply == ReplyAnswered && !belongs(request):
		v.broken(count, KindDuplicated, name, "got an answer that is not its own: %.200s", request.Body)
	case otherBody(request, list):
		v.broken(count, KindDuplicated, name, "a target ran it with another body")
	}
}

// belongs reports whether the answer is that of the request.
func belongs(request Request) bool {
	var answer ledger.AnswerBody
	if json.Unmarshal(request.Body, &answer) != nil {
		return false
	}
	return answer.Request == request.ID &&
		answer.Organisation == request.Organisation &&
		answer.BodyDigest == request.BodyDigest
}

func otherBody(request Request, list []ledger.Execution) bool {
	for _, e := range list {
		if e.BodyDigest != request.BodyDigest {
			return true
		}
	}
	return false
}

// judgeZones counts task starts in zones that are out of service.
func (v *Verdict) judgeZones(l ledger.Ledger, h History) {
	for i, out := range h.Zones {
		if out.InService || out.AckMS == 0 {
			continue
		}
		from, until := out.AckMS+zoneOutMS, nextIn(h.Zones[i+1:], out.Zone)
		for _, t := range l.Tasks {
			if t.Zone == out.Zone && t.StartMS > from && t.StartMS < until {
				v.broken(&v.LateStarts, KindLateStart, t.Job.String(),
					"started in %s %d ms after the zone-out was acknowledged", t.Zone, t.StartMS-out.AckMS)
			}
		}
	}
}

// nextIn returns when an operator next asked for the zone to be in service.
func nextIn(later []ZoneChange, zone model.Zone) int64 {
	for _, change := range later {
		if change.Zone == zone && change.InService {
			return change.SentMS
		}
	}
	return 1 << 62
}

// judgeLeaving counts requests that reached a target after it began to leave.
func (v *Verdict) judgeLeaving(l ledger.Ledger) {
	left := map[model.TargetID]int64{}
	for _, one := range l.Left {
		left[one.Target] = one.UnixMS
	}
	for _, e := range l.Executions {
		since, leaving := left[e.Target]
		if leaving && e.StartMS > since+leavingMS {
			v.broken(&v.LateSends, KindLateSend, e.Request, "sent to %s %d ms after it began to leave", e.Target, e.StartMS-since)
		}
	}
}
