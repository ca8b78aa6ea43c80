package drain

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// newLimitedServer returns a running server with the given bounds.
func newLimitedServer(t *testing.T, limits Limits, handler http.HandlerFunc) *testServer {
	s := newTestServer(t, handler)
	s.Server = NewServer(&http.Server{Handler: handler, ReadHeaderTimeout: testTimeout, IdleTimeout: testTimeout}, limits, zap.NewNop())
	t.Cleanup(s.Close)
	s.start()
	return s
}

// waitUntil waits until the condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout: %s", what)
		}
	}
}

func fixed(n int) func() int { return func() int { return n } }

// TestIdleConnectionsGiveWay guards against idle connections that keep callers out, and against
// closing one whose request is in progress.
func TestIdleConnectionsGiveWay(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	s := newLimitedServer(t, Limits{Conns: fixed(4)}, func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			started <- struct{}{}
			<-finish
		}
		respond(rw, r)
	})
	working := s.dial()
	working.send(strings.Replace(get, "GET /", "GET /slow", 1))
	<-started
	used := s.dial()
	used.send(get)
	used.expect(http.StatusOK, false)
	unused, half := s.dial(), s.dial()
	half.send(get[:16])
	for range 8 {
		c := s.dial()
		c.send(get)
		c.expect(http.StatusOK, false)
	}
	unused.expectEOF()
	used.expectEOF()
	close(finish)
	working.expect(http.StatusOK, false)
	if n := s.countConns(); n > 4 {
		t.Errorf("%d connections", n)
	}
}

// TestStalledRequestsGiveWay guards against unfinished headers and bodies that keep callers out.
func TestStalledRequestsGiveWay(t *testing.T) {
	s := newLimitedServer(t, Limits{Conns: fixed(2)}, respond)
	half, body := s.dial(), s.dial()
	half.send(get[:16])
	body.send(post("a body")[:50])
	for range 3 {
		c := s.dial()
		c.send(get)
		c.expect(http.StatusOK, false)
	}
	half.expectEOF()
	body.expect(http.StatusServiceUnavailable, true)
}

// TestReceivingHeadersAreBounded guards against large headers in progress on all connections.
func TestReceivingHeadersAreBounded(t *testing.T) {
	s := newLimitedServer(t, Limits{Receiving: 2}, respond)
	var clients []*client
	for range 6 {
		c := s.dial()
		c.send(get[:16])
		clients = append(clients, c)
	}
	waitUntil(t, "headers in progress", func() bool { return s.receiving.Load() == 6 })
	waitUntil(t, "headers given up", func() bool {
		c := s.dial()
		c.send(get)
		c.expect(http.StatusOK, false)
		return s.receiving.Load() <= 2
	})
	clients[0].expectEOF()
}

// TestBodyNobodyReadsEnds guards against a connection that is held by a body that the handler
// does not read.
func TestBodyNobodyReadsEnds(t *testing.T) {
	s := newLimitedServer(t, Limits{}, func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusNotFound) })
	c := s.dial()
	c.send(post("a body")[:50])
	c.expect(http.StatusNotFound, true)
	c.expectEOF()
}

// TestUnreadResponsesEnd guards against connections that are held by clients that do not read.
func TestUnreadResponsesEnd(t *testing.T) {
	failed := make(chan error, 1)
	s := newLimitedServer(t, Limits{}, func(rw http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := rw.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	})
	c := s.dial()
	c.send(get)
	if err := <-failed; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}

// TestCompleteRequestIsNotCancelled guards against requests that are cancelled because they
// became complete while their connection was chosen to give way.
func TestCompleteRequestIsNotCancelled(t *testing.T) {
	for name, request := range map[string]string{"body": post("a body"), "header": get} {
		t.Run(name, func(t *testing.T) {
			s := newLimitedServer(t, Limits{}, func(rw http.ResponseWriter, r *http.Request) {
				c := r.Context().Value(connKey{}).(*conn)
				c.evict(c.since)
				respond(rw, r)
				select {
				case <-r.Context().Done():
					t.Error("the request was cancelled")
				case <-time.After(minEvictionAge):
				}
			})
			c := s.dial()
			for range 2 { // the connection stays usable
				c.send(request)
				c.expect(http.StatusOK, false)
			}
		})
	}
}

// TestEvictionsInProgressCount guards against closing many idle connections for a few new ones on
// a host that is too slow to close the first of them at once.
func TestEvictionsInProgressCount(t *testing.T) {
	const conns, enough = 128, 128/evictionDivisor + 1
	evicted := 0
	limits := Limits{Conns: fixed(conns), Evicted: func() { evicted++ }}
	s := NewServer(&http.Server{ReadHeaderTimeout: testTimeout}, limits, zap.NewNop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for range conns { // nothing reads from them, and so nothing closes them
		tcp, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		s.add(tcp.(*net.TCPConn)).since = time.Now().Add(-time.Second)
	}
	defer s.closeConns()
	for range 5 {
		s.makePlace()
	}
	if evicted != enough {
		t.Errorf("%d connections give way, want %d", evicted, enough)
	}
}

// TestHeaderLinesAreBounded guards against headers of very short fields, and against counting the
// lines of a body or of the requests before.
func TestHeaderLinesAreBounded(t *testing.T) {
	s := newLimitedServer(t, Limits{}, respond)
	fields := func(n int) string { return get[:len(get)-2] + strings.Repeat("a:\n", n) }
	c := s.dial()
	c.send(post("a body"))
	c.expect(http.StatusOK, false)
	for range 3 {
		c.send("\r\n" + fields(maxHeaderLines-2) + "\r\n")
		c.expect(http.StatusOK, false)
		c.send(post(strings.Repeat("\n\n{", 2*maxHeaderLines)))
		c.expect(http.StatusOK, false)
	}
	c = s.dial()
	c.send(fields(maxHeaderLines) + "\r\n" + post("a body"))
	c.expect(http.StatusBadRequest, true)
}
