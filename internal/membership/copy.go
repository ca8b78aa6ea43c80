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

// copyTimeout is the timeout of one CopyRecords call.
const copyTimeout = time.Second

// maxCopyRequestBytes keeps a CopyRecords request below the size limit of the peer server.
const maxCopyRequestBytes = 512 << 10

// CopyToPeers tries to store records in the memory of the required number of other live
// hosts and returns the number of hosts that stored all of them. It prefers hosts of
// different other zones.
func (m *Membership) CopyToPeers(ctx context.Context, records []journal.StreamRecord, required int) int {
	requests, err := m.copyRequests(records)
	if err != nil {
		m.opts.Logger.Error("records cannot be encoded for copying to peers", zap.Error(err))
		return 0
	}
	candidates := m.copyCandidates()
	stored := 0
	for stored < required && len(candidates) > 0 && ctx.Err() == nil {
		n := min(required-stored, len(candidates))
		stored += m.copyToHosts(ctx, candidates[:n], requests)
		candidates = candidates[n:]
	}
	return stored
}

// copyRequests splits records into requests of at most maxCopyRequestBytes. A larger record
// gets a request of its own.
func (m *Membership) copyRequests(records []journal.StreamRecord) ([]*peer.CopyRecordsRequest, error) {
	var out []*peer.CopyRecordsRequest
	size := maxCopyRequestBytes
	for _, r := range records {
		data, err := json.Marshal(r.Record)
		if err != nil {
			return nil, err
		}
		if size+len(data) > maxCopyRequestBytes {
			out = append(out, &peer.CopyRecordsRequest{Host: string(m.opts.Self.Host)})
			size = 0
		}
		size += len(data)
		last := out[len(out)-1]
		last.Records = append(last.Records, &peer.StreamRecord{Stream: string(r.Stream), Data: data})
	}
	return out, nil
}

// copyCandidates returns the live hosts that are not leaving, in this order: one host of
// each other zone, a second host of each, and so on, and last the hosts of this host's zone.
func (m *Membership) copyCandidates() []model.HostID {
	perZone := make(map[model.Zone]int)
	var ranks [][]model.HostID
	var ownZone []model.HostID
	for _, member := range m.rotatedMembers() {
		if member.Zone == m.opts.Self.Zone {
			ownZone = append(ownZone, member.Host)
			continue
		}
		rank := perZone[member.Zone]
		perZone[member.Zone]++
		if rank == len(ranks) {
			ranks = append(ranks, nil)
		}
		ranks[rank] = append(ranks[rank], member.Host)
	}
	return append(slices.Concat(ranks...), ownZone...)
}

// candidate is a host that may store copies.
type candidate struct {
	Host model.HostID
	Zone model.Zone
}

// rotatedMembers returns the live other hosts that are not leaving, starting at a random
// one, so that copies are spread over the hosts.
func (m *Membership) rotatedMembers() []candidate {
	var out []candidate
	for _, member := range m.opts.Members.List() {
		if member.Host != m.opts.Self.Host && member.Alive && !member.Leaving {
			out = append(out, candidate{member.Host, member.Zone})
		}
	}
	if len(out) == 0 {
		return nil
	}
	start := int(m.opts.Rand() * float64(len(out)))
	return append(out[start:len(out):len(out)], out[:start]...)
}

// copyToHosts sends the requests to the hosts in parallel and returns the number of hosts
// that stored all of them.
func (m *Membership) copyToHosts(ctx context.Context, hosts []model.HostID, requests []*peer.CopyRecordsRequest) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	stored := 0
	for _, h := range hosts {
		wg.Go(func() {
			if m.copyToHost(ctx, h, requests) {
				mu.Lock()
				stored++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return stored
}

// copyToHost sends the requests to one host and reports whether it stored all of them.
func (m *Membership) copyToHost(ctx context.Context, host model.HostID, requests []*peer.CopyRecordsRequest) bool {
	client, ok := m.Client(host)
	if !ok {
		return false
	}
	for _, c := range requests {
		if !sendCopy(ctx, client, c) {
			return false
		}
	}
	return true
}

// sendCopy sends one request and reports whether its records were stored.
func sendCopy(ctx context.Context, client peer.Peer, req *peer.CopyRecordsRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	ans, err := client.CopyRecords(ctx, req)
	return err == nil && ans.Stored
}
