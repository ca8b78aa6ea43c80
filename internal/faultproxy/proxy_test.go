package faultproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// newEchoProxy starts an echo server and returns a proxy in front of it.
func newEchoProxy(t *testing.T) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, err := Listen(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Close()
		_ = listener.Close()
	})
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchangeLine sends a line and reads one back within limit.
func exchangeLine(conn net.Conn, limit time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, "hello\n"); err != nil {
		return err
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return err
}

const (
	longTimeout = 5 * time.Second
	shortDelay  = 100 * time.Millisecond
)

// dialAndExchange opens a connection and exchanges a line. If the proxy is cut, the reset
// may already fail the dial.
func dialAndExchange(p *Proxy) error {
	conn, err := net.DialTimeout("tcp", p.Address(), longTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	return exchangeLine(conn, longTimeout)
}

// TestCut guards against a cut proxy that forwards data or accepts new connections, and
// against one that stays cut after Restore.
func TestCut(t *testing.T) {
	p := newEchoProxy(t)
	conn := dial(t, p)
	if err := exchangeLine(conn, longTimeout); err != nil {
		t.Fatal(err)
	}
	p.Cut()
	if err := exchangeLine(conn, longTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the old connection gave %v, want a reset", err)
	}
	if err := dialAndExchange(p); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a new connection gave %v, want a reset", err)
	}
	p.Restore()
	if err := exchangeLine(dial(t, p), longTimeout); err != nil {
		t.Errorf("after the restore: %v", err)
	}
}

// TestDrop guards against a drop that closes the connection, and against a stream with a
// gap after Restore.
func TestDrop(t *testing.T) {
	for _, d := range []Direction{ToServer, ToClient} {
		p := newEchoProxy(t)
		conn := dial(t, p)
		p.Drop(d)
		if err := exchangeLine(conn, shortDelay); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("direction %d: got %v, want a timeout", d, err)
		}
		p.Restore()
		if err := exchangeLine(conn, longTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("direction %d: the connection that lost data gave %v, want a reset", d, err)
		}
		if err := exchangeLine(dial(t, p), longTimeout); err != nil {
			t.Errorf("direction %d: after the restore: %v", d, err)
		}
	}
}

// TestFreeze guards against a freeze that also affects new connections or loses the data
// that it held back.
func TestFreeze(t *testing.T) {
	p := newEchoProxy(t)
	old := dial(t, p)
	if err := exchangeLine(old, longTimeout); err != nil {
		t.Fatal(err)
	}
	p.Freeze()
	if err := exchangeLine(old, shortDelay); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the frozen connection gave %v, want a timeout", err)
	}
	if err := exchangeLine(dial(t, p), longTimeout); err != nil {
		t.Errorf("a new connection: %v", err)
	}
	p.Restore()
	if err := exchangeLine(old, longTimeout); err != nil {
		t.Errorf("the old connection after the restore: %v", err)
	}
}

// TestDelayAndReset guards against a delay that is not applied in both directions, and
// against a reset that does not close existing connections or also affects new ones.
func TestDelayAndReset(t *testing.T) {
	p := newEchoProxy(t)
	conn := dial(t, p)
	p.Delay(shortDelay)
	begin := time.Now()
	if err := exchangeLine(conn, longTimeout); err != nil || time.Since(begin) < 2*shortDelay {
		t.Errorf("got %v after %v, want a response after at least %v", err, time.Since(begin), 2*shortDelay)
	}
	p.Reset()
	if err := exchangeLine(conn, longTimeout); err == nil {
		t.Error("the connection works after its reset")
	}
	p.Restore()
	if err := exchangeLine(dial(t, p), longTimeout); err != nil {
		t.Errorf("after the reset: %v", err)
	}
}
