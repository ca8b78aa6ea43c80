package targetlink

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// newTestTarget serves handler on loopback and returns the target and the number of
// connections that it accepted.
func newTestTarget(t *testing.T, handler http.HandlerFunc) (model.Target, *atomic.Int64) {
	t.Helper()
	var conns atomic.Int64
	srv := httptest.NewUnstartedServer(handler)
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	return model.Target{ID: "t1", Address: srv.URL, Slots: 8, MaxConnections: 64}, &conns
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
	_, _ = io.Copy(w, r.Body)
}

func callOnce(t *testing.T, c *Client, target model.Target, timeout time.Duration) (Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.Call(ctx, target, Call{RequestID: "r", AttemptID: "a1", Organisation: "o", Body: []byte("body")})
}

// TestCallErrorKinds guards against reporting an attempt that may have run as not run,
// and against returning the response to another attempt.
func TestCallErrorKinds(t *testing.T) {
	refused := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
		w.Header().Set(HeaderNotRun, "true")
		w.Header().Set(HeaderLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	otherAttempt := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderAttemptID, "a0")
		_, _ = w.Write([]byte("response to another attempt"))
	}
	otherAttemptRefused := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderNotRun, "true")
		otherAttempt(w, r)
	}
	truncated := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}
	plain503 := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    string
	}{
		{"complete response", echo, "response"},
		{"refused", refused, "not run"},
		{"response to another attempt", otherAttempt, "mismatch"},
		{"refusal of another attempt", otherAttemptRefused, "mismatch"},
		{"truncated response", truncated, "ran"},
		{"503 without the header", plain503, "response"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			target, _ := newTestTarget(t, tc.handler)
			c := NewClient(Options{})
			defer c.Close()
			_, err := callOnce(t, c, target, 5*time.Second)
			if got := errorKind(err); got != tc.want {
				t.Errorf("got %s (%v), want %s", got, err, tc.want)
			}
		})
	}
}

func errorKind(err error) string {
	var notRun *NotRunError
	var ran *ResponseLostError
	var mismatch *AttemptMismatchError
	switch {
	case err == nil:
		return "response"
	case errors.As(err, &notRun):
		return "not run"
	case errors.As(err, &ran):
		return "ran"
	case errors.As(err, &mismatch):
		return "mismatch"
	default:
		return "unknown"
	}
}

// TestDialErrorIsNotRun guards against an unknown outcome when the target refused the
// connection and nothing was sent.
func TestDialErrorIsNotRun(t *testing.T) {
	target, _ := newTestTarget(t, echo)
	c := NewClient(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("connection refused")
	}})
	_, err := callOnce(t, c, target, time.Second)
	if errorKind(err) != "not run" {
		t.Errorf("got %v, want a NotRunError", err)
	}
	if c.Stats().NotRun != 1 {
		t.Errorf("stats %+v, want one attempt that did not run", c.Stats())
	}
}

// TestTimedOutConnectionIsNotReused guards against sending a call on a connection whose
// last call missed its deadline, and against reporting that last call as not run.
func TestTimedOutConnectionIsNotReused(t *testing.T) {
	release := make(chan struct{})
	var calls atomic.Int64
	target, _ := newTestTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			<-release
			return
		}
		w.Header().Set("Remote", r.RemoteAddr)
		echo(w, r)
	})
	defer close(release)
	var dialed atomic.Int64
	c := NewClient(Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	defer c.Close()
	if _, err := callOnce(t, c, target, 50*time.Millisecond); errorKind(err) != "unknown" {
		t.Fatalf("call without a response: got %v, want an unknown outcome", err)
	}
	response, err := callOnce(t, c, target, 5*time.Second)
	if err != nil || string(response.Body) != "body" {
		t.Fatalf("next call: got %q, %v", response.Body, err)
	}
	if dialed.Load() < 2 {
		t.Errorf("%d connections opened, want a new one after the one that timed out", dialed.Load())
	}
}

// TestTimeoutClosesIdleConnections guards against calls on idle connections that stopped
// working together with the connection of a call that missed its deadline.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	spares := &spareDialer{dial: func(context.Context, string, string) (net.Conn, error) {
		client, _ := net.Pipe()
		return client, nil
	}}
	spares.setSpare(spares.dial(context.Background(), "", ""))
	conns := &targetConnections{spares: spares, transport: &http.Transport{}}
	conns.closeIdleAfter(&NotRunError{})
	if spares.spare == nil {
		t.Error("the spare was closed although nothing was sent")
	}
	conns.closeIdleAfter(context.DeadlineExceeded)
	if spares.spare != nil {
		t.Error("the spare was kept after a call got no response")
	}
}

// TestSpareConnection guards against a call that waits for a handshake although a spare
// connection is open, and against using a spare connection that the target closed.
func TestSpareConnection(t *testing.T) {
	client, server := net.Pipe()
	live := newSpareConn(client)
	if live.take() == nil {
		t.Error("an open spare connection was not returned")
	}
	_ = server.Close()
	client, server = net.Pipe()
	dead := newSpareConn(client)
	_ = server.Close()
	if dead.take() != nil {
		t.Error("a spare connection that the target closed was returned")
	}
}

// TestAbortStopsWrites guards against bytes that are sent after an attempt was reported
// as not run.
func TestAbortStopsWrites(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	c := &trackedConn{Conn: client}
	c.startAttempt()
	if !c.abort() {
		t.Error("nothing was written, but abort reports a write")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errAborted) {
		t.Errorf("write after abort: %v, want %v", err, errAborted)
	}
}

// TestConnectionLimitPerHost guards against one entry host using more than its share of a
// target's connections.
func TestConnectionLimitPerHost(t *testing.T) {
	release := make(chan struct{})
	target, conns := newTestTarget(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	})
	c := NewClient(Options{HostCount: func() int { return 16 }})
	defer c.Close()
	done := make(chan error, 8)
	for range cap(done) {
		go func() {
			_, err := callOnce(t, c, target, 5*time.Second)
			done <- err
		}()
	}
	close(release)
	for range cap(done) {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if got, share := conns.Load(), int64(target.ConnectionsPerHost(16)); got > share {
		t.Errorf("%d connections at once, want at most the share of %d", got, share)
	}
}
