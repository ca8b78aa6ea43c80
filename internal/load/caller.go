package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/judge"
	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

const (
	// requestTimeout is the timeout that a caller requests; attemptTimeout is how long it waits
	// for one entry host.
	requestTimeout = 4 * time.Second
	attemptTimeout = 6 * time.Second
	// maxCallerAttempts is the number of attempts of a caller, each on the next entry host.
	maxCallerAttempts   = 8
	retryDelay          = 150 * time.Millisecond
	jobWaitSeconds      = 5
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 64
)

// bearerKey is the API key of an organisation or an operator.
type bearerKey string

// Bearer implements api.SecuritySource.
func (k bearerKey) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(k)}, nil
}

// apiCaller sends requests to the APIs of the entry hosts.
type apiCaller struct {
	addresses   []string // host:port
	maxAttempts int      // attempts of one request, each on the next address
	httpClient  *http.Client
}

func newAPICaller(c *Cluster) *apiCaller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     time.Minute,
	}
	caller := &apiCaller{maxAttempts: maxCallerAttempts, httpClient: &http.Client{Transport: transport}}
	for _, h := range c.hosts {
		caller.addresses = append(caller.addresses, h.apiAddress)
	}
	return caller
}

// client returns an API client for one entry host.
func (c *apiCaller) client(hostPort string, k bearerKey) *api.Client {
	client, err := api.NewClient("http://"+hostPort, k, api.WithClient(c.httpClient))
	if err != nil {
		panic(err) // cannot happen: the address is always valid
	}
	return client
}

// retryDecision is what a caller does after an attempt.
type retryDecision int

const (
	stopRetrying retryDecision = iota
	tryNextHost
)

// retryOnHosts calls attempt for one entry host after the other, starting with a random
// one, until it returns stopRetrying, maxAttempts is reached or the context ends.
func (c *apiCaller) retryOnHosts(ctx context.Context, k bearerKey, attempt func(ctx context.Context, client *api.Client) retryDecision) {
	first := rand.IntN(len(c.addresses))
	for i := range c.maxAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		decision := attempt(attemptCtx, c.client(c.addresses[(first+i)%len(c.addresses)], k))
		cancel()
		if decision == stopRetrying || ctx.Err() != nil {
			return
		}
		sleepContext(ctx, retryDelay)
	}
}

// sleepContext waits for d or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// classifyError returns the outcome that an error tells the caller and whether to try
// another host. The caller tries another host if the connection broke, if the host is
// leaving or has no configuration, or if another host is processing the request.
func classifyError(err error) (judge.Reply, retryDecision) {
	var failure *api.ErrorStatusCode
	if !errors.As(err, &failure) {
		return judge.ReplyNone, tryNextHost
	}
	reply := judge.Reply(failure.Response.Outcome)
	switch apierror.Code(failure.Response.Code) {
	case apierror.CodeLeaving, apierror.CodeNoConfiguration, apierror.CodeInProgress:
		return reply, tryNextHost
	default:
		return reply, stopRetrying
	}
}

// sendRequest sends a request, retrying on other hosts, and returns the outcome that the
// caller was told and the text of the last error.
func (c *apiCaller) sendRequest(ctx context.Context, r plannedRequest) (judge.Request, string) {
	record := judge.Request{
		Organisation:  r.organisation,
		ID:            r.id,
		NonRepeatable: r.nonRepeatable,
		BodyDigest:    ledger.Digest(r.body),
	}
	errText, connectionBroken := "", false
	c.retryOnHosts(ctx, bearerKey(organisationKey(r.organisation)), func(ctx context.Context, client *api.Client) retryDecision {
		response, err := client.CallService(ctx, api.CallServiceReq{Data: bytes.NewReader(r.body)}, callParams(r))
		if err != nil {
			reply, next := classifyError(err)
			connectionBroken = connectionBroken || reply == judge.ReplyNone
			record.Reply, errText = reply, errorText(err)
			return next
		}
		record.Reply = judge.ReplyAnswered
		record.Body, err = io.ReadAll(response.Response)
		if err != nil {
			record.Reply = judge.ReplyNone
			return tryNextHost
		}
		return stopRetrying
	})
	if connectionBroken && !r.nonRepeatable && record.Reply == judge.ReplyNotRun {
		// Repeatable calls are not logged, so "not run" from the second host covers only
		// its own attempt, not the one whose connection broke.
		record.Reply = judge.ReplyUnknown
	}
	return record, errText
}

// callParams returns the API parameters of a planned request.
func callParams(r plannedRequest) api.CallServiceParams {
	p := api.CallServiceParams{
		Service:   string(r.service),
		RequestID: api.NewOptString(r.id),
		TimeoutMs: api.NewOptInt(int(requestTimeout.Milliseconds())),
	}
	if r.markedByCaller {
		p.NonRepeatable = api.NewOptBool(true)
	}
	return p
}

// errorText returns the code and message of an API error, or the text of any other error.
func errorText(err error) string {
	var failure *api.ErrorStatusCode
	if errors.As(err, &failure) {
		return failure.Response.Code + ": " + failure.Response.Message
	}
	return err.Error()
}

// submitJob submits a job and returns the outcome that the caller was told and the text of
// the last error.
func (c *apiCaller) submitJob(ctx context.Context, job plannedJob) (judge.Reply, string) {
	reply, errText := judge.ReplyNone, ""
	c.retryOnHosts(ctx, bearerKey(organisationKey(job.organisation)), func(ctx context.Context, client *api.Client) retryDecision {
		_, err := client.SubmitJob(ctx, &job.request)
		if err == nil {
			reply = judge.ReplyAccepted
			return stopRetrying
		}
		var next retryDecision
		reply, next = classifyError(err)
		errText = errorText(err)
		if reply == judge.ReplyUnknown {
			next = tryNextHost // submissions are idempotent by ID
		}
		return next
	})
	return reply, errText
}

// cancelJob cancels a job and reports whether the caller was told that the job is
// cancelled.
func (c *apiCaller) cancelJob(ctx context.Context, k model.JobKey) bool {
	cancelled := false
	c.retryOnHosts(ctx, bearerKey(organisationKey(k.Organisation)), func(ctx context.Context, client *api.Client) retryDecision {
		job, err := client.CancelJob(ctx, api.CancelJobParams{ID: string(k.ID)})
		if err != nil {
			return tryNextHost
		}
		cancelled = job.State == api.JobStateCancelled
		return stopRetrying
	})
	return cancelled
}

// waitForJob waits until the API reports a final state of the job or the context ends, and
// returns the last reported state.
func (c *apiCaller) waitForJob(ctx context.Context, k model.JobKey) model.JobState {
	state := model.JobState("")
	for ctx.Err() == nil && !state.Final() {
		c.retryOnHosts(ctx, bearerKey(organisationKey(k.Organisation)), func(ctx context.Context, client *api.Client) retryDecision {
			job, err := client.WaitJob(ctx, api.WaitJobParams{ID: string(k.ID), Seconds: api.NewOptInt(jobWaitSeconds)})
			if err != nil {
				return tryNextHost
			}
			state = model.JobState(job.State)
			return stopRetrying
		})
	}
	return state
}

// publishConfig publishes the text as the successor of baseVersion.
func (c *apiCaller) publishConfig(ctx context.Context, id string, baseVersion int64, text string) error {
	var lastErr error
	c.retryOnHosts(ctx, operatorKey, func(ctx context.Context, client *api.Client) retryDecision {
		_, lastErr = client.PublishConfig(ctx, &api.ConfigEdit{ID: id, BaseVersion: baseVersion, Text: text})
		if lastErr == nil {
			return stopRetrying
		}
		_, next := classifyError(lastErr)
		return next
	})
	if lastErr != nil {
		return trace.Wrap(lastErr, "publish configuration: %s", errorText(lastErr))
	}
	return nil
}

// setZoneInService takes a zone out of service or returns it, and returns the record of the
// change.
func (c *apiCaller) setZoneInService(ctx context.Context, id string, zone model.Zone, inService bool) (judge.ZoneChange, error) {
	change := judge.ZoneChange{Zone: zone, InService: inService, SentUnixMS: time.Now().UnixMilli()}
	var lastErr error
	c.retryOnHosts(ctx, operatorKey, func(ctx context.Context, client *api.Client) retryDecision {
		_, lastErr = client.SetZone(ctx, &api.ZoneChange{ID: id, InService: inService}, api.SetZoneParams{Zone: string(zone)})
		if lastErr == nil {
			change.AcknowledgedUnixMS = time.Now().UnixMilli()
			return stopRetrying
		}
		reply, next := classifyError(lastErr)
		if reply == judge.ReplyUnknown {
			next = tryNextHost // changes are idempotent by ID
		}
		return next
	})
	if lastErr != nil {
		return change, trace.Wrap(lastErr, "set zone %s: %s", zone, errorText(lastErr))
	}
	return change, nil
}
