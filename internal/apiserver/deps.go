// Package apiserver serves the HTTP API to callers and operators. It checks keys and
// sizes, and checks requests against the published configuration; everything else is
// behind the interfaces in this file.
package apiserver

import (
	"context"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Durability is the storage that an accepted job has reached.
type Durability string

// Durability levels of accepted jobs.
const (
	DurabilityLog   Durability = "log"   // survives the loss of every entry host
	DurabilityPeers Durability = "peers" // survives the loss of two of three replicas
)

// SubmitResult describes an accepted job.
type SubmitResult struct {
	ID         model.JobID
	Durability Durability
	State      model.JobState
}

// Jobs submits, queries and cancels jobs. Its methods return *apierror.Error; any other
// error is reported to the caller as an unknown outcome.
type Jobs interface {
	// Submit accepts a job. The server has already checked the service, its kind, its
	// task limit, the zone's name and the payload's size against the configuration.
	// Submit checks quotas and whether the hardware can ever run the job. For a
	// repeated id it compares only the fields that the caller sets: Priority and
	// NonRepeatable depend on the configuration and may differ. Spec.DeadlineUnixMS
	// is 0 unless the caller set it; the service's deadline is added on acceptance.
	Submit(ctx context.Context, spec model.JobSpec) (SubmitResult, error)
	// Get returns a job and reports whether it exists.
	Get(key model.JobKey) (model.Job, bool)
	// List returns at most limit jobs of an organisation, or of all organisations if
	// org is empty. An empty state matches every state.
	List(org model.Organisation, state model.JobState, limit int) []model.Job
	// Wait returns the job once it has reached a final state, or an error if ctx ends
	// first.
	Wait(ctx context.Context, key model.JobKey) (model.Job, error)
	// Cancel records the cancellation of a job. The identity in requestedBy is recorded
	// with it.
	Cancel(ctx context.Context, key model.JobKey, requestedBy string) (model.Job, error)
	// Explain returns the reasons for the planner's latest decisions, oldest first.
	Explain(ctx context.Context, key model.JobKey) []model.Reason
}

// CallRequest is a request to a service.
type CallRequest struct {
	ID           string
	Organisation model.Organisation
	Service      model.Service
	Body         []byte
	// Timeout limits the request. If it is 0, the deadline of the service applies.
	Timeout time.Duration
	// NonRepeatable is true if the service or the caller forbids repeated execution.
	NonRepeatable bool
}

// CallResponse is the complete response of a target. Status is its HTTP status code.
type CallResponse struct {
	RequestID string
	Status    int
	Body      []byte
}

// Calls sends requests to targets. It returns errors as Jobs does.
type Calls interface {
	// Do checks rate limits, the limit of requests in flight and dependencies, and
	// then sends the request.
	Do(ctx context.Context, request CallRequest) (CallResponse, error)
}

// Configs publishes configurations. It returns errors as Jobs does.
type Configs interface {
	// Publish replaces version baseVersion of the configuration by text, which the
	// server has already validated, and returns the new version.
	Publish(ctx context.Context, id string, baseVersion int64, text []byte) (version int64, err error)
	// SetZone takes a zone out of service or puts it back. The returned state is
	// "accepted" or "pending"; the version of a pending change is 0.
	SetZone(ctx context.Context, id string, zone model.Zone, inService bool) (state string, version int64, err error)
}

// StatusSource reports the state of the deployment as seen by this host.
type StatusSource interface {
	// Status returns the status for operators, with the data of all organisations.
	Status(ctx context.Context) *api.Status
	// Events returns the events after since, oldest first.
	Events(since time.Time) []blackboard.Event
}

// Deps holds the dependencies of the server.
type Deps struct {
	Jobs    Jobs
	Calls   Calls
	Configs Configs
	Status  StatusSource
	// Config returns the configuration in force, or nil if there is none yet.
	Config func() *blackboard.Configuration
	// Ready returns nil, or an error that states why the host should get no new work.
	// It may be nil.
	Ready func() error
	// Leaving is closed when a planned stop begins. Waits then end early, so that they
	// do not delay the stop. It may be nil.
	Leaving <-chan struct{}
	// BootstrapKeyHash is the hash of the key that may publish the first configuration,
	// as auth.HashKey returns it. If it is empty, an operator key of that configuration
	// may.
	BootstrapKeyHash string
}
