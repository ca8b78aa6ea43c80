package guard

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener accepts one connection.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestProgress guards against bodies that hold memory and connections for long because they
// make little or no progress, and against giving up a slow caller inside the platform's limits.
// Time is virtual.
func TestProgress(t *testing.T) {
	const whole = 256 << 10
	for name, c := range map[string]struct {
		piece   int           // bytes
		pause   time.Duration // between pieces
		stall   time.Duration // in the middle
		stopAt  int           // bytes
		timeout time.Duration // of the caller
		want    error
		within  time.Duration
	}{
		"10 Mbit/s, a packet lost three times":     {1400, 1120 * time.Microsecond, 1400 * time.Millisecond, whole, 3 * time.Second, nil, 3 * time.Second},
		"a slow caller that waits":                 {8 << 10, 400 * time.Millisecond, 0, whole, 15 * time.Second, nil, 15 * time.Second},
		"stops before the end":                     {64 << 10, 0, 0, whole - 1, 15 * time.Second, ErrIncomplete, 3 * time.Second},
		"a byte now and then":                      {1, 100 * time.Millisecond, 0, whole, 15 * time.Second, ErrIncomplete, 3100 * time.Millisecond},
		"still sending after the caller's timeout": {4 << 10, 500 * time.Millisecond, 0, whole, 3 * time.Second, ErrIncomplete, 4500 * time.Millisecond},
		"a timeout of hours":                       {4 << 10, 2 * time.Second, 0, whole, time.Hour, ErrIncomplete, 16 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				took, err := receive(t, c.timeout, whole, func(conn net.Conn) {
					for sent := 0; sent < c.stopAt; sent += c.piece {
						if sent >= whole/2 && sent < whole/2+c.piece {
							time.Sleep(c.stall)
						}
						if _, err := conn.Write(make([]byte, min(c.piece, c.stopAt-sent))); err != nil {
							return
						}
						time.Sleep(c.pause)
					}
				})
				if !errors.Is(err, c.want) || took > c.within {
					t.Errorf("got %v after %v, want %v within %v", err, took, c.want, c.within)
				}
			})
		})
	}
}

// receive serves one request whose body is sent by send, and returns the time that
// ReadBody took, and its error.
func receive(t *testing.T, timeout time.Duration, length int, send func(net.Conn)) (took time.Duration, err error) {
	g := newTestGuard(144, 0, 0)
	client, server := net.Pipe()
	done := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		defer close(done)
		start := time.Now()
		var b *Body
		if b, err = g.ReadBody(rw, r, BodyLimits{MaxBytes: int64(length), Timeout: timeout}); err == nil {
			b.Release()
		}
		took = time.Since(start)
	})}
	l := pipeListener{make(chan net.Conn, 1)}
	l.conns <- server
	go func() { _ = s.Serve(l) }()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
		send(client)
	}()
	<-done
	close(l.conns)
	_ = client.Close()
	_ = s.Close()
	<-sent
	synctest.Wait()
	if g.budget.inUse() != 0 {
		t.Errorf("%d bytes are in use", g.budget.inUse())
	}
	return took, err
}
