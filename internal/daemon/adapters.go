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

// jobsAPI adapts jobs.Service to apiserver.Jobs.
type jobsAPI struct {
	*jobs.Service
	members *membership.Membership
}

// explainTimeout limits the request to the host that plans the job.
const explainTimeout = time.Second

// Explain implements apiserver.Jobs. The reasons are held only in the memory of the host
// that plans the job's home shard, so it asks that host. If that host does not respond, the
// last reason says so.
func (j jobsAPI) Explain(ctx context.Context, key model.JobKey) []model.Reason {
	ownReasons := j.Service.Explain(key)
	job, ok := j.Get(key)
	owner, known := j.members.Owner(job.HomeShard)
	if !ok || !known || owner == j.members.Self().Host {
		return ownReasons
	}
	reasons, err := j.fetchReasons(ctx, owner, key)
	if err == nil {
		return reasons
	}
	return append(ownReasons, model.Reason{
		Job: key, Code: model.ReasonPlannerNotReached, UnixMS: time.Now().UnixMilli(),
		Detail: "host " + string(owner) + " plans the job and did not respond",
	})
}

// fetchReasons requests the reasons for a job from another host.
func (j jobsAPI) fetchReasons(ctx context.Context, host model.HostID, key model.JobKey) ([]model.Reason, error) {
	client, ok := j.members.Client(host)
	if !ok {
		return nil, trace.NotFound("host %s is not known", host)
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	resp, err := client.Explain(ctx, &peer.ExplainRequest{Organisation: string(key.Organisation), Job: string(key.ID)})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	reasons := make([]model.Reason, 0, len(resp.Reasons))
	for _, r := range resp.Reasons {
		reasons = append(reasons, model.Reason{
			Job: key, Code: model.ReasonCode(r.Code), Detail: r.Detail, UnixMS: r.UnixMs,
		})
	}
	return reasons, nil
}

// Submit implements apiserver.Jobs.
func (j jobsAPI) Submit(ctx context.Context, spec model.JobSpec) (apiserver.SubmitResult, error) {
	result, err := j.Service.Submit(ctx, spec)
	return apiserver.SubmitResult{
		ID: result.ID, Durability: apiserver.Durability(result.Durability), State: result.State,
	}, err
}

// callsAPI adapts calls.Service to apiserver.Calls.
type callsAPI struct{ *calls.Service }

// Do implements apiserver.Calls.
func (c callsAPI) Do(ctx context.Context, r apiserver.CallRequest) (apiserver.CallResponse, error) {
	response, err := c.Service.Do(ctx, calls.Request(r))
	return apiserver.CallResponse(response), err
}

// peerOutcomeClient asks other hosts for the outcomes of requests.
type peerOutcomeClient struct{ members *membership.Membership }

// QueryOutcome implements calls.Peers.
func (p peerOutcomeClient) QueryOutcome(ctx context.Context, host model.HostID, org model.Organisation, id string) (calls.PeerResponse, error) {
	client, ok := p.members.Client(host)
	if !ok {
		return calls.PeerResponse{}, trace.NotFound("host %s is not known", host)
	}
	req := &peer.CallOutcomeRequest{Organisation: string(org), Request: id}
	resp, err := client.CallOutcome(ctx, req)
	if err != nil {
		return calls.PeerResponse{}, trace.Wrap(err)
	}
	return calls.PeerResponse{
		Outcome: calls.PeerOutcome(resp.Outcome), Status: int(resp.Status), Body: resp.Body,
	}, nil
}

// callOutcomes adapts calls.Service to peerserver.OutcomeProvider.
type callOutcomes struct{ *calls.Service }

// Outcome implements peerserver.OutcomeProvider.
func (o callOutcomes) Outcome(org model.Organisation, id string) peerserver.CallOutcome {
	outcome := o.Service.Outcome(org, id)
	return peerserver.CallOutcome{Outcome: string(outcome.Outcome), Status: outcome.Status, Body: outcome.Body}
}
