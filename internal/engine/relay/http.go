package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/guard"
)

const (
	// path is the path of relayed calls.
	path = "/relay/v1/call"
	// maxMessageBytes bounds a call or a reply. It exceeds the default limit of a submission's
	// body; a larger call is not relayed.
	maxMessageBytes = 320 << 10
	// dialTimeout is how long a peer's kernel may take to accept a connection; a host that is
	// gone does not answer.
	dialTimeout = 250 * time.Millisecond
	// connsPerPeer bounds the connections to a peer.
	connsPerPeer = 8
	// IdleConnTimeout is shorter than the time after which a peer closes an idle connection: a
	// call that is sent just then has an unknown outcome.
	IdleConnTimeout = 10 * time.Second
	connBufferBytes = 4 << 10
	// stepBytes is the memory of a step with its lists.
	stepBytes = 512
	// bodyOwner pays for the memory of the bodies of peers.
	bodyOwner = "peers"
	// statusNotExecuted is the status of a response to a call that was not executed.
	statusNotExecuted = http.StatusServiceUnavailable
)

var errInvalidReply = trace.BadParameter("the reply is invalid")

func notExecuted(reason string) error { return trace.Wrap(ErrNotExecuted, reason) }

// HTTPTransport sends calls over HTTP with JSON bodies.
type HTTPTransport struct{ roundTripper http.RoundTripper }

// NewHTTPTransport returns a transport that keeps idle connections for a while.
func NewHTTPTransport() *HTTPTransport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &HTTPTransport{&http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: connsPerPeer, MaxIdleConnsPerHost: connsPerPeer,
		IdleConnTimeout: IdleConnTimeout, DisableCompression: true,
		ReadBufferSize: connBufferBytes, WriteBufferSize: connBufferBytes,
	}}
}

// Send implements Transport.
func (t *HTTPTransport) Send(ctx context.Context, address string, r Request) (Reply, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Reply{}, notExecuted(err.Error())
	}
	if len(body) > maxMessageBytes {
		return Reply{}, trace.Wrap(ErrTooLarge)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, notExecuted(err.Error())
	}
	request.Header["User-Agent"] = nil
	response, err := t.roundTripper.RoundTrip(request)
	if err != nil && !connected.Load() {
		return Reply{}, trace.Wrap(ErrUnreachable, err.Error())
	}
	if err != nil {
		return Reply{}, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return decodeReply(response)
}

func decodeReply(response *http.Response) (Reply, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	switch {
	case response.StatusCode == statusNotExecuted:
		return Reply{}, notExecuted(string(data))
	case err != nil:
		return Reply{}, trace.Wrap(err)
	case response.StatusCode != http.StatusOK:
		return Reply{}, trace.Errorf("the peer returned status %d", response.StatusCode)
	}
	reply := Reply{}
	if err := json.Unmarshal(data, &reply); err != nil {
		return Reply{}, trace.Wrap(err)
	}
	return reply, nil
}

// NewHandler returns the HTTP handler for the calls of peers. Their bodies share the guard's budget
// with those of callers.
func NewHandler(s *Service, g *guard.Guard) http.Handler {
	h := &handler{service: s, guard: g}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path, h.serveHTTP)
	return mux
}

type handler struct {
	service  *Service
	guard    *guard.Guard
	decoding sync.Mutex // one call at a time is decoded, which bounds the memory for it
}

// serveHTTP serves a call of a peer. It takes one of the places before it reads the body.
func (h *handler) serveHTTP(rw http.ResponseWriter, request *http.Request) {
	release, ok := h.service.begin()
	if !ok {
		refuse(rw, request, notExecuted("too many calls of peers"))
		return
	}
	defer release()
	body, err := h.guard.ReadBody(rw, request, guard.BodyLimits{Organisation: bodyOwner, MaxBytes: maxMessageBytes, Timeout: attemptTimeout})
	if err != nil {
		refuse(rw, request, err)
		return
	}
	defer body.Release()
	r, err := h.decode(body)
	if err != nil {
		refuse(rw, request, err)
		return
	}
	reply, err := h.service.Execute(request.Context(), r)
	if err != nil {
		refuse(rw, request, err)
		return
	}
	data, err := json.Marshal(reply)
	if err != nil {
		panic(err) // cannot fail: a plain struct
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(data) // an error means that the peer closed the connection
}

// decode decodes a call and reserves the memory of its steps.
func (h *handler) decode(body *guard.Body) (Request, error) {
	h.decoding.Lock()
	defer h.decoding.Unlock()
	var r Request
	if err := json.Unmarshal(body.Data, &r); err != nil {
		return r, trace.Wrap(err)
	}
	if r.Job == nil {
		return r, nil
	}
	return r, body.Grow(int64(len(r.Job.Steps)) * stepBytes)
}

// refuse returns that a call was not executed.
func refuse(rw http.ResponseWriter, request *http.Request, err error) {
	guard.RefuseUnread(rw, request)
	http.Error(rw, err.Error(), statusNotExecuted)
}
