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
	// fetchDelay gives the log time to deliver a version, so that a text is not
	// transferred to every host twice.
	fetchDelay         = 300 * time.Millisecond
	fetchRetryInterval = 300 * time.Millisecond
	// gapRetryInterval is the retry interval while records are missing on this host and no
	// peer's state closes the gap. It is longer than fetchRetryInterval because each
	// attempt transfers a whole text.
	gapRetryInterval = 3 * time.Second
	fetchTimeout     = time.Second
)

// fetchedSnapshot is the newest snapshot received from a peer. It is kept to answer other
// peers.
type fetchedSnapshot struct {
	snapshot journal.ConfigSnapshot
}

// HandleReport implements membership.Observer. It stores the pending changes and remembers
// whether the peer has a newer version than this host.
func (s *Sync) HandleReport(r membership.Report, pending []*peer.PendingZoneChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storePendingChanges(pending)
	if r.ConfigVersion <= s.versionInForce() {
		delete(s.peersAhead, r.Host)
		return
	}
	s.peersAhead[r.Host] = r.ConfigVersion
	if r.ConfigVersion > s.knownVersion {
		s.knownVersion = r.ConfigVersion
		s.notifyChanged()
	}
}

// HandleFetch answers a peer's FetchConfig with the newest state of this host. The answer
// has no text if the state is not newer than the request asks for.
func (s *Sync) HandleFetch(req *peer.FetchConfigRequest) *peer.ConfigText {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest journal.ConfigSnapshot
	if s.state.synced {
		newest = s.state.snapshot()
	}
	if s.fetched != nil && s.fetched.snapshot.Version > newest.Version {
		newest = s.fetched.snapshot
	}
	ans := &peer.ConfigText{Version: newest.Version, ThroughOffset: newest.ThroughOffset}
	if newest.Version <= req.NewerThan || newest.Version == 0 {
		return ans
	}
	ans.Text = newest.Text
	for _, e := range newest.Edits {
		ans.Edits = append(ans.Edits, &peer.AcceptedEdit{Id: e.ID, Version: e.Version, Digest: e.Digest})
	}
	return ans
}

// fetchLoop fetches the configuration from peers while one of them has a newer version or
// while records are missing on this host.
func (s *Sync) fetchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if !s.needsFetch() {
			waitForChange(ctx, changed, 0)
			continue
		}
		if s.opts.Journal.State().Reachable {
			waitForChange(ctx, nil, fetchDelay)
		}
		if s.needsFetch() && !s.fetchFromAny(ctx) {
			waitForChange(ctx, nil, s.fetchRetryDelay())
		}
	}
}

func (s *Sync) fetchRetryDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.synced {
		return fetchRetryInterval
	}
	return gapRetryInterval
}

// waitForChange waits until changed is closed, the timeout expires or ctx is done. With
// timeout 0 it has no timeout; with a nil channel it only waits for the timeout.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	var timer <-chan time.Time
	if timeout > 0 {
		t := time.NewTimer(timeout)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer:
	}
}

// needsFetch reports whether records are missing on this host or a version is known that is
// newer than the one in force and did not fail to parse here.
func (s *Sync) needsFetch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.synced {
		return true
	}
	return s.knownVersion > s.versionInForce() && s.knownVersion > s.unparsableVersion
}

// fetchFromAny tries the fetch candidates in order and reports whether one of them
// advanced this host's state.
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

// fetchCandidates returns the peers with a newer version or, while records are missing on
// this host, all live peers. It starts at a random host to spread the load.
func (s *Sync) fetchCandidates() []model.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []model.HostID
	if !s.state.synced {
		out = s.livePeers()
	} else {
		for h := range s.peersAhead {
			out = append(out, h)
		}
	}
	if len(out) == 0 {
		return nil
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	start := int(s.opts.Rand() * float64(len(out)))
	return append(out[start:len(out):len(out)], out[:start]...)
}

func (s *Sync) livePeers() []model.HostID {
	var out []model.HostID
	for _, m := range s.opts.Board.Members.List() {
		if m.Alive && m.Host != s.opts.Members.Self().Host {
			out = append(out, m.Host)
		}
	}
	return out
}

// fetchFrom fetches one peer's state and reports whether it advanced this host's state.
func (s *Sync) fetchFrom(ctx context.Context, host model.HostID) bool {
	client, ok := s.opts.Members.Client(host)
	if !ok {
		return false
	}
	newerThan := s.versionInForce()
	s.mu.Lock()
	if !s.state.synced {
		newerThan = -1
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	ans, err := client.FetchConfig(ctx, &peer.FetchConfigRequest{NewerThan: newerThan})
	if err != nil {
		s.opts.Logger.Debug("cannot fetch the configuration from a peer", zap.String("host", string(host)), zap.Error(err))
		return false
	}
	return len(ans.Text) > 0 && s.installFetched(ans)
}

// installFetched stores a peer's answer and reports whether it advanced the version in
// force or closed a gap in the records.
func (s *Sync) installFetched(ans *peer.ConfigText) bool {
	snapshot := journal.ConfigSnapshot{
		Version: ans.Version, Text: ans.Text, ThroughOffset: ans.ThroughOffset,
	}
	for _, e := range ans.Edits {
		snapshot.Edits = append(snapshot.Edits, journal.AcceptedEdit{ID: e.Id, Version: e.Version, Digest: e.Digest})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	versionBefore, wasSynced := s.versionInForce(), s.state.synced
	if s.fetched == nil || snapshot.Version > s.fetched.snapshot.Version {
		s.fetched = &fetchedSnapshot{snapshot}
	}
	s.installText(snapshot.Version, snapshot.Text, snapshot.ThroughOffset)
	s.removeAccepted(snapshot.Edits)
	s.state.applySnapshot(snapshot)
	s.installState()
	return s.versionInForce() > versionBefore || s.state.synced != wasSynced
}

func (s *Sync) addEvent(format string, args ...any) {
	s.opts.Board.Events.Add(blackboard.Event{
		Time: s.opts.Now(), Part: "configsync", Message: fmt.Sprintf(format, args...),
	})
}
