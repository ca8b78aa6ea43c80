package host

import (
	"testing"

	"github.com/daisyfold/daisyfold/internal/engine/relay"
)

// TestIdleConnectionsToPeers guards against a call that is sent on a connection that the peer is
// closing: its outcome is unknown, since a submission is not sent again by itself.
func TestIdleConnectionsToPeers(t *testing.T) {
	if relay.IdleConnTimeout+readHeaderTimeout > idleTimeout {
		t.Errorf("idle connections are kept for %v, and the peer closes them after %v", relay.IdleConnTimeout, idleTimeout)
	}
}
