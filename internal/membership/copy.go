package membership

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

const (
	// copyTimeout bounds one CopyRecords call.
	copyTimeout = time.Second
	// maxCopyCallBytes keeps a CopyRecords call below the peer server's limit.
	maxCopyCallBytes = 512 << 10
)

// CopyToPeers stores records in the memory of want other live hosts and returns how
// many hold all of them. Hosts of different other zones come first.
func (m *Membership) CopyToPeers(ctx context.Context, records []journal.StreamRecord, want int) int {
	calls, err := m.copyCalls(records)
	if err != nil {
		m.opts.Logger.Error("records cannot be copied", zap.Error(err))
		return 0
	}
	candidates := m.copyCandidates()
	stored := 0
	for stored < want && len(candidates) > 0 && ctx.Err() == nil {
		n := min(want-stored, len(candidates))
		stored += m.copyTo(ctx, candidates[:n], calls)
		candidates = candidates[n:]
	}
	return stored
}

// copyCalls splits records into calls of bounded size.
func (m *Membership) copyCalls(records []journal.StreamRecord) ([]*peer.CopyRecordsRequest, error) {
	var out []*peer.CopyRecordsRequest
	size := maxCopyCallBytes
	for _, r := range records {
		data, err := json.Marshal(r.Record)
		if err != nil {
			return nil, err
		}
		if size+len(data) > maxCopyCallBytes {
			out = append(out, &peer.CopyRecordsRequest{Host: string(m.opts.Self.Host)})
			size = 0
		}
		size += len(data)
		last := out[len(out)-1]
		last.Records = append(last.Records, &peer.StreamRecord{Stream: string(r.Stream), Data: data})
	}
	return out, nil
}

// copyCandidates orders live hosts that are not leaving: first one of each other
// zone, then their other hosts, then the own zone.
func (m *Membership) copyCandidates() []model.HostID {
	perZone := make(map[model.Zone]int)
	var ranks [][]model.HostID
	var own []model.HostID
	for _, x := range m.shuffledMembers() {
		if x.Zone == m.opts.Self.Zone {
			own = append(own, x.Host)
			continue
		}
		rank := perZone[x.Zone]
		perZone[x.Zone]++
		if rank == len(ranks) {
			ranks = append(ranks, nil)
		}
		ranks[rank] = append(ranks[rank], x.Host)
	}
	return append(slices.Concat(ranks...), own...)
}

type candidate struct {
	Host model.HostID
	Zone model.Zone
}

// shuffledMembers starts at a random place, so that copies spread over the hosts.
func (m *Membership) shuffledMembers() []candidate {
	var out []candidate
	for _, x := range m.opts.Members.List() {
		if x.Host != m.opts.Self.Host && x.Alive && !x.Leaving {
			out = append(out, candidate{x.Host, x.Zone})
		}
	}
	if len(out) == 0 {
		return nil
	}
	k := int(m.opts.Rand() * float64(len(out)))
	return append(out[k:len(out):len(out)], out[:k]...)
}

func (m *Membership) copyTo(ctx context.Context, hosts []model.HostID, calls []*peer.CopyRecordsRequest) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	stored := 0
	for _, h := range hosts {
		wg.Go(func() {
			if m.copyToHost(ctx, h, calls) {
				mu.Lock()
				stored++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return stored
}

func (m *Membership) copyToHost(ctx context.Context, host model.HostID, calls []*peer.CopyRecordsRequest) bool {
	client, ok := m.Client(host)
	if !ok {
		return false
	}
	for _, c := range calls {
		if !copyCall(ctx, client, c) {
			return false
		}
	}
	return true
}

func copyCall(ctx context.Context, client peer.Peer, req *peer.CopyRecordsRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	ans, err := client.CopyRecords(ctx, req)
	return err == nil && ans.Stored
}
