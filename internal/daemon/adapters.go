package daemon

import (
	"context"
	"time"

	"github.com/daisyfold/daisyfold/internal/apiserver"
	"github.com/daisyfold/daisyfold/internal/calls"
	"github.com/daisyfold/daisyfold/internal/jobs"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/peerserver"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
	"github.com/gravitational/trace"
)

// jobsAPI adapts the jobs service to the API server.
type jobsAPI struct {
	*jobs.Service
	members *membership.Membership
}

// explainTimeout bounds the question to the planner's host.
const explainTimeout = time.Second

// Explain implements apiserver.Jobs. The reasons are in the memory of the host that
// plans the job's home shard.
func (j jobsAPI) Explain(ctx context.Context, key model.JobKey) []model.Reason {
	own := j.Service.Explain(key)
	job, ok := j.Get(key)
	owner, known := j.members.Owner(job.HomeShard)
	if !ok || !known || owner == j.members.Self().Host {
		return own
	}
	reasons, err := j.askReasons(ctx, owner, key)
	if err == nil {
		return reasons
	}
	return append(own, model.Reason{
		Job: key, Code: model.ReasonPlannerNotReached, UnixMS: time.Now().UnixMilli(),
		Detail: "host " + string(owner) + " plans the job and did not answer",
	})
}

func (j jobsAPI) askReasons(ctx context.Context, host model.HostID, key model.JobKey) ([]model.Reason, error) {
	client, ok := j.members.Client(host)
	if !ok {
		return nil, trace.NotFound("host %s is not known", host)
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	ans, err := client.Explain(ctx, &peer.ExplainRequest{Organisation: string(key.Organisation), Job: string(key.ID)})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	out := make([]model.Reason, 0, len(ans.Reasons))
	for _, r := range ans.Reasons {
		out = append(out, model.Reason{
			Job: key, Code: model.ReasonCode(r.Code), Detail: r.Detail, UnixMS: r.UnixMs,
		})
	}
	return out, nil
}

// Submit implements apiserver.Jobs.
func (j jobsAPI) Submit(ctx context.Context, spec model.JobSpec) (apiserver.SubmitResult, error) {
	a, err := j.Service.Submit(ctx, spec)
	return apiserver.SubmitResult{
		ID: a.ID, Durability: apiserver.Durability(a.Durability), State: a.State,
	}, err
}

// callsAPI adapts the calls service to the API server.
type callsAPI struct{ *calls.Service }

// Do implements apiserver.Calls.
func (c callsAPI) Do(ctx context.Context, r apiserver.CallRequest) (apiserver.CallAnswer, error) {
	a, err := c.Service.Do(ctx, calls.Request(r))
	return apiserver.CallAnswer(a), err
}

// peerCalls asks other hosts about requests.
type peerCalls struct{ members *membership.Membership }

// QueryOutcome implements calls.Peers.
func (p peerCalls) QueryOutcome(ctx context.Context, host model.HostID, org model.Organisation, id string) (calls.PeerResponse, error) {
	client, ok := p.members.Client(host)
	if !ok {
		return calls.PeerResponse{}, trace.NotFound("host %s is not known", host)
	}
	req := &peer.CallOutcomeRequest{Organisation: string(org), Request: id}
	ans, err := client.CallOutcome(ctx, req)
	if err != nil {
		return calls.PeerResponse{}, trace.Wrap(err)
	}
	return calls.PeerResponse{
		Outcome: calls.PeerOutcome(ans.Outcome), Status: int(ans.Status), Body: ans.Body,
	}, nil
}

// outcomes answers other hosts' questions about requests.
type outcomes struct{ *calls.Service }

// Outcome implements peerserver.OutcomeProvider.
func (o outcomes) Outcome(org model.Organisation, id string) peerserver.CallOutcome {
	a := o.Service.Outcome(org, id)
	return peerserver.CallOutcome{Outcome: string(a.Outcome), Status: a.Status, Body: a.Body}
}
