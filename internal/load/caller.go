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
	// requestTimeout is what a caller asks for, attemptTimeout how long it waits.
	requestTimeout = 4 * time.Second
	attemptTimeout = 6 * time.Second
	// callerTries is how many entry hosts a caller tries.
	callerTries = 8
	retryPause  = 150 * time.Millisecond
	waitSeconds = 5
	dialLimit   = time.Second
	idlePerHost = 64
)

// key is the bearer key of a caller or operator.
type key string

// Bearer implements api.SecuritySource.
func (k key) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(k)}, nil
}

// callers send the workload to the entry hosts.
type callers struct {
	hosts     []string // host:port of the APIs
	tries     int      // entry hosts that a caller tries
	transport *http.Client
}

func newCallers(c *Cluster) *callers {
	dialer := &net.Dialer{Timeout: dialLimit}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     time.Minute,
	}
	list := &callers{tries: callerTries, transport: &http.Client{Transport: transport}}
	for _, h := range c.hosts {
		list.hosts = append(list.hosts, h.api)
	}
	return list
}

// client returns the product's client of one entry host.
func (c *callers) client(hostPort string, k key) *api.Client {
	client, err := api.NewClient("http://"+hostPort, k, api.WithClient(c.transport))
	if err != nil {
		panic(err) // the address is one of ours
	}
	return client
}

// verdict is what a caller does after one attempt.
type verdict int

const (
	finish verdict = iota
	another
)

// try calls entry hosts in turn, from a random one on, until one settles the
// matter.
func (c *callers) try(ctx context.Context, k key, attempt func(ctx context.Context, client *api.Client) verdict) {
	first := rand.IntN(len(c.hosts))
	for i := range c.tries {
		one, cancel := context.WithTimeout(ctx, attemptTimeout)
		result := attempt(one, c.client(c.hosts[(first+i)%len(c.hosts)], k))
		cancel()
		if result == finish || ctx.Err() != nil {
			return
		}
		pause(ctx, retryPause)
	}
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// settle maps an error to what the caller was told and to what it does next. A
// broken connection and a host that leaves or has no configuration send the caller
// to another host; a request that another host has in hand is asked for again.
func settle(err error) (judge.Reply, verdict) {
	var failure *api.ErrorStatusCode
	if !errors.As(err, &failure) {
		return judge.ReplyNone, another
	}
	reply := judge.Reply(failure.Response.Outcome)
	switch apierror.Code(failure.Response.Code) {
	case apierror.CodeLeaving, apierror.CodeNoConfiguration, apierror.CodeInProgress:
		return reply, another
	default:
		return reply, finish
	}
}

// send makes one request and returns what its caller was told.
func (c *callers) send(ctx context.Context, r plannedRequest) (judge.Request, string) {
	record := judge.Request{
		Organisation:  r.organisation,
		ID:            r.id,
		NonRepeatable: r.nonRepeatable,
		BodyDigest:    ledger.Digest(r.body),
	}
	cause, broken := "", false
	c.try(ctx, key(keyOf(r.organisation)), func(ctx context.Context, client *api.Client) verdict {
		answer, err := client.CallService(ctx, api.CallServiceReq{Data: bytes.NewReader(r.body)}, params(r))
		if err != nil {
			reply, next := settle(err)
			broken = broken || reply == judge.ReplyNone
			record.Reply, cause = reply, errorText(err)
			return next
		}
		record.Reply = judge.ReplyAnswered
		record.Body, err = io.ReadAll(answer.Response)
		if err != nil {
			record.Reply = judge.ReplyNone
			return another
		}
		return finish
	})
	if broken && !r.nonRepeatable && record.Reply == judge.ReplyNotRun {
		// Repeatable calls are not logged, so a second host's "not run" covers its
		// own attempt only, not the one whose connection broke.
		record.Reply = judge.ReplyUnknown
	}
	return record, cause
}

func params(r plannedRequest) api.CallServiceParams {
	p := api.CallServiceParams{
		Service:   string(r.service),
		RequestID: api.NewOptString(r.id),
		TimeoutMs: api.NewOptInt(int(requestTimeout.Milliseconds())),
	}
	if r.marked {
		p.NonRepeatable = api.NewOptBool(true)
	}
	return p
}

func errorText(err error) string {
	var failure *api.ErrorStatusCode
	if errors.As(err, &failure) {
		return failure.Response.Code + ": " + failure.Response.Message
	}
	return err.Error()
}

// submit submits a job and returns what its caller was told.
func (c *callers) submit(ctx context.Context, job plannedJob) (judge.Reply, string) {
	reply, cause := judge.ReplyNone, ""
	c.try(ctx, key(keyOf(job.organisation)), func(ctx context.Context, client *api.Client) verdict {
		_, err := client.SubmitJob(ctx, &job.request)
		if err == nil {
			reply = judge.ReplyAccepted
			return finish
		}
		var next verdict
		reply, next = settle(err)
		cause = errorText(err)
		if reply == judge.ReplyUnknown {
			next = another // submissions are idempotent by id
		}
		return next
	})
	return reply, cause
}

// cancel cancels a job and reports whether the caller was told that it is
// cancelled.
func (c *callers) cancel(ctx context.Context, k model.JobKey) bool {
	cancelled := false
	c.try(ctx, key(keyOf(k.Organisation)), func(ctx context.Context, client *api.Client) verdict {
		job, err := client.CancelJob(ctx, api.CancelJobParams{ID: string(k.ID)})
		if err != nil {
			return another
		}
		cancelled = job.State == api.JobStateCancelled
		return finish
	})
	return cancelled
}

// wait waits until the product reports the job as final, and returns the last
// state that it reported.
func (c *callers) wait(ctx context.Context, k model.JobKey) model.JobState {
	state := model.JobState("")
	for ctx.Err() == nil && !state.Final() {
		c.try(ctx, key(keyOf(k.Organisation)), func(ctx context.Context, client *api.Client) verdict {
			job, err := client.WaitJob(ctx, api.WaitJobParams{ID: string(k.ID), Seconds: api.NewOptInt(waitSeconds)})
			if err != nil {
				return another
			}
			state = model.JobState(job.State)
			return finish
		})
	}
	return state
}

// publish puts a text in force as the first configuration.
func (c *callers) publish(ctx context.Context, id string, base int64, text string) error {
	var last error
	c.try(ctx, operatorKey, func(ctx context.Context, client *api.Client) verdict {
		_, last = client.PublishConfig(ctx, &api.ConfigEdit{ID: id, BaseVersion: base, Text: text})
		if last == nil {
			return finish
		}
		_, next := settle(last)
		return next
	})
	if last != nil {
		return trace.Wrap(last, "publish: %s", errorText(last))
	}
	return nil
}

// setZone takes a zone out or in and returns the operator's record.
func (c *callers) setZone(ctx context.Context, id string, zone model.Zone, inService bool) (judge.ZoneChange, error) {
	change := judge.ZoneChange{Zone: zone, InService: inService, SentMS: time.Now().UnixMilli()}
	var last error
	c.try(ctx, operatorKey, func(ctx context.Context, client *api.Client) verdict {
		_, last = client.SetZone(ctx, &api.ZoneChange{ID: id, InService: inService}, api.SetZoneParams{Zone: string(zone)})
		if last == nil {
			change.AckMS = time.Now().UnixMilli()
			return finish
		}
		reply, next := settle(last)
		if reply == judge.ReplyUnknown {
			next = another // changes are idempotent by id
		}
		return next
	})
	if last != nil {
		return change, trace.Wrap(last, "set zone %s: %s", zone, errorText(last))
	}
	return change, nil
}
