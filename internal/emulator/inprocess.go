package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
)

// Transport returns a transport that calls the handler in the process, without a
// network. Tests under testing/synctest need it, because virtual time does not
// advance while a goroutine waits for the network.
func Transport(h http.Handler) http.RoundTripper { return inProcess{handler: h} }

type inProcess struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper. A handler that aborts its answer shows
// as io.ErrUnexpectedEOF, as a broken connection does.
func (t inProcess) RoundTrip(request *http.Request) (*http.Response, error) {
	if hook := httptrace.ContextClientTrace(request.Context()); hook != nil && hook.GotConn != nil {
		hook.GotConn(httptrace.GotConnInfo{})
	}
	answered := make(chan *http.Response, 1)
	go t.serve(request, answered)
	select {
	case response := <-answered:
		if response == nil {
			return nil, io.ErrUnexpectedEOF
		}
		return response, nil
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// serve runs the handler with a body of its own, because the caller may leave.
func (t inProcess) serve(request *http.Request, answered chan<- *http.Response) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause != http.ErrAbortHandler { //nolint:errorlint // the value that the handler panicked with
			panic(cause)
		}
		answered <- nil
	}()
	inner := request.Clone(context.WithoutCancel(request.Context()))
	ctx, cancel := context.WithCancel(inner.Context())
	defer cancel()
	stop := context.AfterFunc(request.Context(), cancel)
	defer stop()
	inner = inner.WithContext(ctx)
	inner.Body = http.NoBody
	if request.Body != nil {
		data, err := io.ReadAll(request.Body)
		if err != nil {
			answered <- nil
			return
		}
		inner.Body = io.NopCloser(bytes.NewReader(data))
	}
	rw := httptest.NewRecorder()
	t.handler.ServeHTTP(rw, inner)
	answered <- rw.Result()
}
