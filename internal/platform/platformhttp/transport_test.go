package platformhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// newCountingServer returns a server and the number of connections that it accepted.
func newCountingServer(t *testing.T, h http.HandlerFunc) (*httptest.Server, *atomic.Int64) {
	t.Helper()
	var opened atomic.Int64
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s, &opened
}

func postOnce(ctx context.Context, rt http.RoundTripper, url string) (Response, error) {
	return Do(ctx, rt, Call{Method: http.MethodPost, URL: url, Body: "question", Timeout: time.Minute})
}

func newTransport() *http.Transport { return NewTransport(NewCounters(metrics.NewRegistry(), "test")) }

// TestTransportReusesItsConnection guards against opening a connection for each call, which
// would triple the traffic of a lease renewal.
func TestTransportReusesItsConnection(t *testing.T) {
	s, opened := newCountingServer(t, func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(rw, r.Body)
	})
	rt := newTransport()
	for range 5 {
		got, err := postOnce(t.Context(), rt, s.URL)
		if err != nil || string(got.Body) != `"question"` {
			t.Fatalf("got %q, %v", got.Body, err)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Fatalf("%d connections for 5 calls", n)
	}
}

// closeNotifier signals when the transport has closed its side of a connection.
type closeNotifier struct {
	net.Conn
	closed chan<- struct{}
}

// Close implements net.Conn.
func (c *closeNotifier) Close() error {
	err := c.Conn.Close()
	c.closed <- struct{}{}
	return err
}

// TestTransportReplacesClosedConnection guards against a call on an idle connection that
// the worker has closed: the call would fail although the worker is healthy, and might
// count as sent.
func TestTransportReplacesClosedConnection(t *testing.T) {
	s, opened := newCountingServer(t, func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "answer") })
	rt := newTransport()
	closed := make(chan struct{}, 1)
	dial := rt.DialContext
	rt.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return &closeNotifier{Conn: conn, closed: closed}, err
	}
	for range 3 {
		if _, err := postOnce(t.Context(), rt, s.URL); err != nil {
			t.Fatal(err)
		}
		s.CloseClientConnections()
		// A call that is written before the close arrives would use the old connection.
		<-closed
	}
	if n := opened.Load(); n != 3 {
		t.Fatalf("%d connections, want one for each call", n)
	}
}

// TestTransportDropsConnectionOfAbandonedCall guards against a response that reaches the
// wrong call: a connection whose call was cancelled must not be reused.
func TestTransportDropsConnectionOfAbandonedCall(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{})
	s, opened := newCountingServer(t, func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			_, _ = io.Copy(io.Discard, r.Body)
			close(arrived)
			<-release
		}
		_, _ = io.WriteString(rw, r.URL.Path)
	})
	defer close(release)
	rt := newTransport()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	if _, err := postOnce(ctx, rt, s.URL+"/slow"); err == nil {
		t.Fatal("the cancelled call got a response")
	}
	got, err := postOnce(t.Context(), rt, s.URL+"/next")
	if err != nil || string(got.Body) != "/next" {
		t.Fatalf("got %q, %v", got.Body, err)
	}
	if n := opened.Load(); n != 2 {
		t.Fatalf("%d connections, want 2", n)
	}
}

// TestTransportReportsUnsentCall guards against a call that counts as sent although the
// connection was refused: the planner would wait for leases to expire that the worker
// never granted.
func TestTransportReportsUnsentCall(t *testing.T) {
	s, _ := newCountingServer(t, func(http.ResponseWriter, *http.Request) {})
	url := s.URL
	s.Close()
	_, err := postOnce(t.Context(), newTransport(), url)
	var unsent *UnsentError
	if !errors.As(err, &unsent) {
		t.Fatalf("got %v, want an UnsentError", err)
	}
}
