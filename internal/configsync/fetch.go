package configsync

import (
	"context"
	"fmt"
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

const (
	// fetchDelay lets the log deliver a version first, so that a text is not sent
	// twice to every host.
	fetchDelay = 300 * time.Millisecond
	fetchRetry = 300 * time.Millisecond
	// gapRetry is the pause while records are missing here and no peer's text
	// closes the gap. Each try moves a whole text.
	gapRetry     = 3 * time.Second
	fetchTimeout = time.Second
)

// fetchedText is the last text that came from a peer, kept for other peers.
type fetchedText struct {
	snapshot journal.ConfigSnapshot
}

// Observe implements membership.Observer.
func (s *Sync) Observe(r membership.Report, pending []*peer.PendingZoneChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storePending(pending)
	if r.ConfigVersion <= s.inForce() {
		delete(s.ahead, r.Host)
		return
	}
	s.ahead[r.Host] = r.ConfigVersion
	if r.ConfigVersion > s.known {
		s.known = r.ConfigVersion
		s.signal()
	}
}

// HandleFetch answers a peer's FetchConfig with the newest state this host has.
func (s *Sync) HandleFetch(req *peer.FetchConfigRequest) *peer.ConfigText {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best journal.ConfigSnapshot
	if s.fold.synced {
		best = s.fold.snapshot()
	}
	if s.fetched != nil && s.fetched.snapshot.Version > best.Version {
		best = s.fetched.snapshot
	}
	ans := &peer.ConfigText{Version: best.Version, ThroughOffset: best.ThroughOffset}
	if best.Version <= req.NewerThan || best.Version == 0 {
		return ans
	}
	ans.Text = best.Text
	for _, e := range best.Edits {
		ans.Edits = append(ans.Edits, &peer.AcceptedEdit{Id: e.ID, Version: e.Version, Digest: e.Digest})
	}
	return ans
}

// fetchLoop fetches while a peer is ahead, or while records are missing here.
func (s *Sync) fetchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if !s.mustFetch() {
			wait(ctx, changed, 0)
			continue
		}
		if s.opts.Journal.State().Reachable {
			wait(ctx, nil, fetchDelay)
		}
		if s.mustFetch() && !s.fetchFromAny(ctx) {
			wait(ctx, nil, s.retryPause())
		}
	}
}

func (s *Sync) retryPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fold.synced {
		return fetchRetry
	}
	return gapRetry
}

// wait waits for a change or for d, or for the change only if d is 0.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	var timer <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer:
	}
}

func (s *Sync) mustFetch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fold.synced {
		return true
	}
	return s.known > s.inForce() && s.known > s.unreadable
}

// fetchFromAny asks the peers that are ahead, or all live ones while records are
// missing here, until one helps.
func (s *Sync) fetchFromAny(ctx context.Context) bool {
	for _, host := range s.fetchCandidates() {
		if ctx.Err() != nil {
			return false
		}
		if s.fetchFrom(ctx, host) {
			return true
		}
	}
	return false
}

// fetchCandidates starts at a random host, so that the load spreads.
func (s *Sync) fetchCandidates() []model.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []model.HostID
	if !s.fold.synced {
		out = s.liveHosts()
	} else {
		for h := range s.ahead {
			out = append(out, h)
		}
	}
	if len(out) == 0 {
		return nil
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	k := int(s.opts.Rand() * float64(len(out)))
	return append(out[k:len(out):len(out)], out[:k]...)
}

func (s *Sync) liveHosts() []model.HostID {
	var out []model.HostID
	for _, m := range s.opts.Board.Members.List() {
		if m.Alive && m.Host != s.opts.Members.Self().Host {
			out = append(out, m.Host)
		}
	}
	return out
}

// fetchFrom takes one peer's text and reports whether it was of use.
func (s *Sync) fetchFrom(ctx context.Context, host model.HostID) bool {
	client, ok := s.opts.Members.Client(host)
	if !ok {
		return false
	}
	newerThan := s.inForce()
	s.mu.Lock()
	if !s.fold.synced {
		newerThan = -1
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	ans, err := client.FetchConfig(ctx, &peer.FetchConfigRequest{NewerThan: newerThan})
	if err != nil {
		s.opts.Logger.Debug("fetch failed", zap.String("host", string(host)), zap.Error(err))
		return false
	}
	return len(ans.Text) > 0 && s.takeFetched(ans)
}

func (s *Sync) takeFetched(ans *peer.ConfigText) bool {
	snapshot := journal.ConfigSnapshot{
		Version: ans.Version, Text: ans.Text, ThroughOffset: ans.ThroughOffset,
	}
	for _, e := range ans.Edits {
		snapshot.Edits = append(snapshot.Edits, journal.AcceptedEdit{ID: e.Id, Version: e.Version, Digest: e.Digest})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before, wasSynced := s.inForce(), s.fold.synced
	if s.fetched == nil || snapshot.Version > s.fetched.snapshot.Version {
		s.fetched = &fetchedText{snapshot}
	}
	s.put(snapshot.Version, snapshot.Text, snapshot.ThroughOffset)
	s.resolve(snapshot.Edits)
	s.fold.adopt(snapshot)
	s.install()
	return s.inForce() > before || s.fold.synced != wasSynced
}

func (s *Sync) event(format string, args ...any) {
	s.opts.Board.Events.Add(blackboard.Event{
		Time: s.opts.Now(), Part: "configsync", Message: fmt.Sprintf(format, args...),
	})
}
