package membership

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

// relayTimeout is the timeout of one relayed append. It is below the timeout of the peer
// server.
const relayTimeout = 1800 * time.Millisecond

// ErrNoRelay means that no reachable peer can read the log.
var ErrNoRelay = errors.New("no reachable peer can read the log")

// HasRelay reports whether a reachable peer can read the log.
func (m *Membership) HasRelay() bool { return len(m.relayCandidates()) > 0 }

// Relay appends a record through a peer that can read the log. effective reports whether
// the record took effect. After ErrNoRelay nothing was sent; after any other error the
// record may still appear in the log.
func (m *Membership) Relay(ctx context.Context, r journal.StreamRecord) (effective bool, err error) {
	data, err := json.Marshal(r.Record)
	if err != nil {
		return false, trace.Wrap(err)
	}
	req := &peer.StreamRecord{Stream: string(r.Stream), Data: data}
	err = ErrNoRelay
	for _, client := range m.relayCandidates() {
		ans, callErr := relayVia(ctx, client, req)
		if callErr == nil && ans.Recorded {
			return ans.Won, nil
		}
		err = errors.Join(errors.New("a peer did not confirm the relayed record"), callErr)
	}
	return false, err
}

// relayVia sends the record to one peer.
func relayVia(ctx context.Context, client peer.Peer, req *peer.StreamRecord) (*peer.RelayRecordAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return client.RelayRecord(ctx, req)
}

// relayCandidates returns up to two live peers that reported within
// otherZoneLivenessTimeout that they can read the log.
func (m *Membership) relayCandidates() []peer.Peer {
	const maxCandidates = 2
	now := m.opts.Now()
	var out []peer.Peer
	for _, r := range m.Reports() {
		if !r.LogReachable || now.Sub(r.ReportedAt) > otherZoneLivenessTimeout || !m.Alive(r.Host) {
			continue
		}
		if client, ok := m.Client(r.Host); ok && len(out) < maxCandidates {
			out = append(out, client)
		}
	}
	return out
}
