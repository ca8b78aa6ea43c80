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

// startTarget serves handler on loopback and counts the connections it accepts.
func startTarget(t *testing.T, handler http.HandlerFunc) (model.Target, *atomic.Int64) {
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
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	_, _ = io.Copy(w, r.Body)
}

func callOnce(t *testing.T, c *Client, target model.Target, timeout time.Duration) (Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.Call(ctx, target, Call{Request: "r", Attempt: "a1", Organisation: "o", Body: []byte("body")})
}

// TestCallClassifiesEnds guards against an attempt that may have run being reported
// as not run, and against answers of other attempts reaching a caller.
func TestCallClassifiesEnds(t *testing.T) {
	refused := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		w.Header().Set(HeaderNotRun, "true")
		w.Header().Set(HeaderLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	crossed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderAttempt, "a0")
		_, _ = w.Write([]byte("somebody else's"))
	}
	crossedRefusal := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderNotRun, "true")
		crossed(w, r)
	}
	cut := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}
	plain503 := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    string
	}{
		{"answered", echo, "answer"},
		{"refused", refused, "not run"},
		{"crossed", crossed, "mismatch"},
		{"crossed refusal", crossedRefusal, "mismatch"},
		{"cut", cut, "ran"},
		{"503 without the header", plain503, "answer"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			target, _ := startTarget(t, tc.handler)
			c := NewClient(Options{})
			defer c.Close()
			_, err := callOnce(t, c, target, 5*time.Second)
			if got := kindOf(err); got != tc.want {
				t.Errorf("got %s (%v), want %s", got, err, tc.want)
			}
		})
	}
}

func kindOf(err error) string {
	var notRun *NotRunError
	var ran *RanError
	var mismatch *AttemptMismatchError
	switch {
	case err == nil:
		return "answer"
	case errors.As(err, &notRun):
		return "not run"
	case errors.As(err, &ran):
		return "ran"
	case errors.As(err, &mismatch):
		return "mismatch"
	default:
		return "open"
	}
}

// TestDialErrorIsNotRun guards against unknown outcomes for targets that refuse
// connections: nothing was sent.
func TestDialErrorIsNotRun(t *testing.T) {
	target, _ := startTarget(t, echo)
	c := NewClient(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("connection refused")
	}})
	_, err := callOnce(t, c, target, time.Second)
	if kindOf(err) != "not run" {
		t.Errorf("got %v, want a NotRunError", err)
	}
	if c.Stats().NotRun != 1 {
		t.Errorf("stats %+v, want one attempt that did not run", c.Stats())
	}
}

// TestSilentConnectionIsNotReused guards against a connection that missed its
// deadline carrying the next call, and against reporting that call as not run.
func TestSilentConnectionIsNotReused(t *testing.T) {
	release := make(chan struct{})
	var calls atomic.Int64
	target, _ := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			<-release
			return
		}
		w.Header().Set("Remote", r.RemoteAddr)
		echo(w, r)
	})
	defer close(release)
	var open atomic.Int64
	c := NewClient(Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		open.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	defer c.Close()
	if _, err := callOnce(t, c, target, 50*time.Millisecond); kindOf(err) != "open" {
		t.Fatalf("silent call: got %v, want an open outcome", err)
	}
	a, err := callOnce(t, c, target, 5*time.Second)
	if err != nil || string(a.Body) != "body" {
		t.Fatalf("next call: got %q, %v", a.Body, err)
	}
	if open.Load() < 2 {
		t.Errorf("%d connections opened, want a new one after the silent one", open.Load())
	}
}

// TestSilenceDropsIdleConnections guards against calls that wait on idle connections
// that went silent together with the one that missed its deadline.
func TestSilenceDropsIdleConnections(t *testing.T) {
	p := &sparePool{dial: func(context.Context, string, string) (net.Conn, error) {
		client, _ := net.Pipe()
		return client, nil
	}}
	p.store(p.dial(context.Background(), "", ""))
	l := &link{pool: p, transport: &http.Transport{}}
	l.suspect(&NotRunError{})
	if p.ready == nil {
		t.Error("the spare was dropped although nothing was sent")
	}
	l.suspect(context.DeadlineExceeded)
	if p.ready != nil {
		t.Error("the spare was kept after a call got no answer")
	}
}

// TestSpareConnection guards against a call that waits for a handshake while a
// spare connection is open, and against a spare that the target closed.
func TestSpareConnection(t *testing.T) {
	client, server := net.Pipe()
	live := newSpare(client)
	if live.take() == nil {
		t.Error("an open spare connection was not handed out")
	}
	_ = server.Close()
	client, server = net.Pipe()
	dead := newSpare(client)
	_ = server.Close()
	if dead.take() != nil {
		t.Error("a spare connection that the target closed was handed out")
	}
}

// TestSealStopsWrites guards against bytes that leave after an attempt was
// reported as not run.
func TestSealStopsWrites(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	c := &trackedConn{Conn: client}
	c.begin()
	if !c.seal() {
		t.Error("nothing was written, but seal says so")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errSealed) {
		t.Errorf("write after seal: %v, want %v", err, errSealed)
	}
}

// TestConnectionShare guards against one entry host using more connections than
// its share of the target's.
func TestConnectionShare(t *testing.T) {
	release := make(chan struct{})
	target, conns := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	})
	c := NewClient(Options{Hosts: func() int { return 16 }})
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
