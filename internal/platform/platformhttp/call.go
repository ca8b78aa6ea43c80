package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// maxResponseBytes limits a response body that is read into memory.
const maxResponseBytes = 16 << 20

// Call is one HTTP call.
type Call struct {
	Method string
	URL    string
	// Body is sent as JSON when it is not nil.
	Body any
	// IfNoneMatch is the ETag of the caller's copy, or empty.
	IfNoneMatch string
	// Timeout limits the whole call, in addition to the context.
	Timeout time.Duration
}

// Response is a complete response.
type Response struct {
	Status int
	ETag   string
	Body   []byte
}

// Decode decodes the JSON body of the response into v.
func (r Response) Decode(v any) error {
	return trace.Wrap(json.Unmarshal(r.Body, v))
}

// UnsentError is the error of a call that failed before it had a connection, so that no
// byte was sent.
type UnsentError struct{ Err error }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Do makes the call and returns the complete response. It returns an *UnsentError,
// wrapped, if no byte was sent.
func Do(ctx context.Context, rt http.RoundTripper, c Call) (Response, error) {
	var result Response
	err := Stream(ctx, rt, c, func(response *http.Response) error {
		var err error
		result, err = readResponse(response)
		return err
	})
	return result, err
}

// Stream makes the call and calls read with the response, whose body is closed
// afterwards. It returns an *UnsentError, wrapped, if no byte was sent.
func Stream(ctx context.Context, rt http.RoundTripper, c Call, read func(*http.Response) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(ctx, c)
	if err != nil {
		return trace.Wrap(&UnsentError{Err: err})
	}
	response, err := rt.RoundTrip(request)
	if err != nil && !connected.Load() {
		return trace.Wrap(&UnsentError{Err: err})
	}
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return trace.Wrap(read(response))
}

func newRequest(ctx context.Context, c Call) (*http.Request, error) {
	var body io.Reader
	if c.Body != nil {
		data, err := json.Marshal(c.Body)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, c.Method, c.URL, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// Omitting the User-Agent header saves 30 bytes in each of the 30 lease renewals that
	// a planner sends per second.
	request.Header["User-Agent"] = nil
	if c.IfNoneMatch != "" {
		request.Header.Set("If-None-Match", c.IfNoneMatch)
	}
	return request, nil
}

func readResponse(response *http.Response) (Response, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, trace.Wrap(err)
	}
	if len(body) > maxResponseBytes {
		return Response{}, trace.LimitExceeded("the response is larger than %d bytes", maxResponseBytes)
	}
	return Response{Status: response.StatusCode, ETag: response.Header.Get("ETag"), Body: body}, nil
}
