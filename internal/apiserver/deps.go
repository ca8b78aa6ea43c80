// Package apiserver serves the HTTP API to callers and operators. It checks keys,
// sizes and what the operators' text says about a request; the rest is behind the
// interfaces in this file.
package apiserver

import (
	"context"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Durability says what an accepted job survives.
type Durability string

// Durabilities of accepted jobs.
const (
	DurabilityLog   Durability = "log"   // the loss of every entry host
	DurabilityPeers Durability = "peers" // the loss of two of three holders
)

// SubmitResult is the answer to an accepted job.
type SubmitResult struct {
	ID         model.JobID
	Durability Durability
	State      model.JobState
}

// Jobs accepts and reports jobs. Errors are *apierror.Error; any other error counts
// as an unknown outcome.
type Jobs interface {
	// Submit accepts a job. The server has checked the service, its kind, its task
	// limit, the zone's name and the payload's size against the text. Submit checks
	// quotas and whether the hardware can ever run the job. For a repeated id it
	// compares what the caller chose: Priority and NonRepeatable come from the text
	// and may differ. Spec.DeadlineUnixMS is 0 unless the caller set it; the
	// service's deadline is added when the job is accepted.
	Submit(ctx context.Context, spec model.JobSpec) (SubmitResult, error)
	Get(key model.JobKey) (model.Job, bool)
	// List returns at most limit jobs of an organisation, or of all when org is
	// empty; an empty state stands for every state.
	List(org model.Organisation, state model.JobState, limit int) []model.Job
	// Wait returns the job once it is final, or an error when ctx ends before.
	Wait(ctx context.Context, key model.JobKey) (model.Job, error)
	// Cancel records the cancellation of a job. By says who asked for it.
	Cancel(ctx context.Context, key model.JobKey, by string) (model.Job, error)
	// Explain returns the reasons of the planner's last decisions, oldest first.
	Explain(ctx context.Context, key model.JobKey) []model.Reason
}

// CallRequest is one request to a service.
type CallRequest struct {
	ID           string
	Organisation model.Organisation
	Service      model.Service
	Body         []byte
	Timeout      time.Duration
	// NonRepeatable is set when the service or the caller says so.
	NonRepeatable bool
}

// CallAnswer is the whole answer of a target.
type CallAnswer struct {
	RequestID string
	Status    int
	Body      []byte
}

// Calls sends requests to targets. Errors are as with Jobs. Rates, limits of requests
// in flight and dependencies are checked by Do.
type Calls interface {
	Do(ctx context.Context, request CallRequest) (CallAnswer, error)
}

// Configs publishes texts. Errors are as with Jobs.
type Configs interface {
	// Publish appends an edit of version base. The server has checked the text.
	Publish(ctx context.Context, id string, base int64, text []byte) (version int64, err error)
	// SetZone takes a zone out of service or back. State is accepted or pending.
	SetZone(ctx context.Context, id string, zone model.Zone, inService bool) (state string, version int64, err error)
}

// StatusSource reports the deployment as this host sees it.
type StatusSource interface {
	Status(ctx context.Context) *api.Status
	// Events returns the events after since, oldest first.
	Events(since time.Time) []blackboard.Event
}

// Deps are what the server needs.
type Deps struct {
	Jobs    Jobs
	Calls   Calls
	Configs Configs
	Status  StatusSource
	// Config returns the configuration in force, or nil when there is none yet.
	Config func() *blackboard.Configuration
	// Ready returns why the host should get no new work, or nil.
	Ready func() error
	// Leaving is closed when a planned stop begins: waits end early, so that they
	// do not hold up the stop. It may be nil.
	Leaving <-chan struct{}
	// BootstrapKeyHash is settings.Settings.BootstrapKeyHash.
	BootstrapKeyHash string
}
