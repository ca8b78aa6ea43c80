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

// relayTimeout bounds one relayed append. It is below the peer server's own bound.
const relayTimeout = 1800 * time.Millisecond

// ErrNoRelay says that no peer in contact can read the log: it is down for everyone
// that this host can reach.
var ErrNoRelay = errors.New("no peer in contact reaches the log")

// HasRelay reports whether a peer in contact can read the log.
func (m *Membership) HasRelay() bool { return len(m.relays()) > 0 }

// Relay appends a record through a peer that reaches the log. won tells whether the
// record is the decision that counts. After ErrNoRelay nothing was sent; after any
// other error the record may appear in the log.
func (m *Membership) Relay(ctx context.Context, r journal.StreamRecord) (won bool, err error) {
	data, err := json.Marshal(r.Record)
	if err != nil {
		return false, trace.Wrap(err)
	}
	req := &peer.StreamRecord{Stream: string(r.Stream), Data: data}
	err = ErrNoRelay
	for _, client := range m.relays() {
		ans, callErr := relayOne(ctx, client, req)
		if callErr == nil && ans.Recorded {
			return ans.Won, nil
		}
		err = errors.Join(errors.New("a peer did not confirm the record"), callErr)
	}
	return false, err
}

func relayOne(ctx context.Context, client peer.Peer, req *peer.StreamRecord) (*peer.RelayRecordAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return client.RelayRecord(ctx, req)
}

// relays returns up to two live peers that said in the last seconds that they read
// the log.
func (m *Membership) relays() []peer.Peer {
	const most = 2
	now := m.opts.Now()
	var out []peer.Peer
	for _, r := range m.Reports() {
		if !r.LogReachable || now.Sub(r.At) > crossSilence || !m.Alive(r.Host) {
			continue
		}
		if client, ok := m.Client(r.Host); ok && len(out) < most {
			out = append(out, client)
		}
	}
	return out
}
