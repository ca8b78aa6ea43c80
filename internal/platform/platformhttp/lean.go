package platformhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// LeanTransport is a round tripper for many connections with one call each at a
// time. http.Transport keeps two goroutines and two buffers for each connection,
// which for the 300 long polls of a shard was a third of the daemon's memory. It
// speaks HTTP/1.1 without TLS, follows no proxy and closes a connection after any
// error. A call is never sent twice.
type LeanTransport struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*leanConn // by address, the last used one at the end
}

// NewLeanTransport returns a transport that adds its traffic to c.
func NewLeanTransport(c Counters) *LeanTransport {
	return &LeanTransport{dial: countedDial(c), idle: map[string][]*leanConn{}}
}

// leanConn is one connection. The reader has a buffer of its own, because the
// answer of a long poll can arrive at any time.
type leanConn struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time // when it became idle
}

// writers are the buffers of requests, which are needed for the write only.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, bufferBytes) }}

// RoundTrip implements http.RoundTripper.
func (t *LeanTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	conn, err := t.connect(ctx, r.URL.Host)
	if err != nil {
		closeBody(r)
		return nil, trace.Wrap(err)
	}
	if observer := httptrace.ContextClientTrace(ctx); observer != nil && observer.GotConn != nil {
		observer.GotConn(httptrace.GotConnInfo{Conn: conn})
	}
	// An expired deadline ends the blocked read or write of a call that is given up.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	response, err := conn.exchange(r)
	if err != nil {
		stop()
		_ = conn.Close()
		if ctx.Err() != nil {
			return nil, trace.Wrap(context.Cause(ctx))
		}
		return nil, trace.Wrap(err)
	}
	response.Body = &leanBody{ReadCloser: response.Body, done: func(whole bool) {
		if stop() && whole && !response.Close {
			t.keep(r.URL.Host, conn)
			return
		}
		_ = conn.Close()
	}}
	return response, nil
}

func closeBody(r *http.Request) {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}

// exchange sends a request and reads the head of its answer.
func (c *leanConn) exchange(r *http.Request) (*http.Response, error) {
	w, _ := writers.Get().(*bufio.Writer)
	w.Reset(c.Conn)
	err := r.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(io.Discard)
	writers.Put(w)
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, r)
}

// connect returns an idle connection that is still open, or a new one.
func (t *LeanTransport) connect(ctx context.Context, address string) (*leanConn, error) {
	for {
		c := t.take(address)
		if c == nil {
			break
		}
		if time.Since(c.since) < idleTimeout && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := t.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &leanConn{Conn: conn, reader: bufio.NewReaderSize(conn, bufferBytes)}, nil
}

func (t *LeanTransport) take(address string) *leanConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	t.idle[address] = list[:len(list)-1]
	return c
}

// keep stores a connection for the next call and closes those that were idle for
// too long.
func (t *LeanTransport) keep(address string, c *leanConn) {
	c.since = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	old := 0
	for old < len(list) && (c.since.Sub(list[old].since) > idleTimeout || len(list)-old >= maxIdle) {
		_ = list[old].Close()
		old++
	}
	t.idle[address] = append(list[old:], c)
}

// quiet reports whether the other side neither closed an idle connection nor sent
// bytes that nobody asked for.
func (c *leanConn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	counted, _ := c.Conn.(*countedConn)
	if counted == nil {
		return true
	}
	inner, ok := counted.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (errors.Is(peeked, syscall.EAGAIN) || errors.Is(peeked, syscall.EWOULDBLOCK))
}

// leanBody reports the end of an answer's body once.
type leanBody struct {
	io.ReadCloser
	whole bool
	once  sync.Once
	done  func(whole bool)
}

// Read implements io.Reader.
func (b *leanBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *leanBody) Close() error {
	b.once.Do(func() { b.done(b.whole) })
	return nil
}
