package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
)

// Transport returns a transport that calls the handler directly, without a network.
// Tests under testing/synctest need it, because virtual time does not advance while a
// goroutine waits for the network.
func Transport(h http.Handler) http.RoundTripper { return inProcessTransport{handler: h} }

type inProcessTransport struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper. If the handler aborts its response, it returns
// io.ErrUnexpectedEOF, as for a broken connection.
func (t inProcessTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if hook := httptrace.ContextClientTrace(request.Context()); hook != nil && hook.GotConn != nil {
		hook.GotConn(httptrace.GotConnInfo{})
	}
	result := make(chan *http.Response, 1)
	go t.serve(request, result)
	select {
	case response := <-result:
		if response == nil {
			return nil, io.ErrUnexpectedEOF
		}
		return response, nil
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// serve runs the handler on a copy of the request's body, because the caller may return
// before the handler does. It sends nil if the handler aborts its response.
func (t inProcessTransport) serve(request *http.Request, result chan<- *http.Response) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause != http.ErrAbortHandler { //nolint:errorlint // recovered value, not an error chain
			panic(cause)
		}
		result <- nil
	}()
	handlerRequest := request.Clone(context.WithoutCancel(request.Context()))
	ctx, cancel := context.WithCancel(handlerRequest.Context())
	defer cancel()
	stop := context.AfterFunc(request.Context(), cancel)
	defer stop()
	handlerRequest = handlerRequest.WithContext(ctx)
	handlerRequest.Body = http.NoBody
	if request.Body != nil {
		data, err := io.ReadAll(request.Body)
		if err != nil {
			result <- nil
			return
		}
		handlerRequest.Body = io.NopCloser(bytes.NewReader(data))
	}
	rw := httptest.NewRecorder()
	t.handler.ServeHTTP(rw, handlerRequest)
	result <- rw.Result()
}
