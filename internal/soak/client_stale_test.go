package soak

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// TestCallersDropConnectionsOfEndedProcess guards against a call that counts as unanswered by a sound host
// because the caller sent it on a connection to the host's former process.
func TestCallersDropConnectionsOfEndedProcess(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			reader := bufio.NewReader(conn)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					break
				}
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		}
	}()
	p := &process{name: "host", front: listener.Addr().String(), done: make(chan struct{})}
	c := newClient()
	defer c.close()
	if a := c.call(p, http.MethodGet, "/", "key", nil); a.status != http.StatusOK {
		t.Fatalf("status %d, %v", a.status, a.err)
	}
	close(p.done)
	_ = (<-accepted).Close()
	p.done = make(chan struct{})
	if a := c.call(p, http.MethodGet, "/", "key", nil); a.status != http.StatusOK {
		t.Errorf("status %d, %v after the host's process was replaced", a.status, a.err)
	}
}
