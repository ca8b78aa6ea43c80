package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
)

const (
	// registrationSpread is the time over which hosts that start together write their records,
	// so that they do not delay the statuses, which are in the same topic.
	registrationSpread = 3 * time.Second
	// registrationCheck is the interval at which a host checks its copy for its record, without
	// a call to the store. It exceeds the interval at which all hosts read the topic.
	registrationCheck = 30 * time.Second
	// Delays between attempts to write the record.
	minRegistrationDelay = time.Second
	maxRegistrationDelay = 30 * time.Second
	// registrationTimeout is the timeout of such an attempt.
	registrationTimeout = 2 * time.Second
	// maxExpiredPerWrite is the number of expired records that a host deletes together with
	// writing its own.
	maxExpiredPerWrite = 16
)

// Register offers this host to its peers at address until the context ends. It writes the host's
// record unless the store holds it already.
func (s *Service) Register(ctx context.Context, address string) error {
	wait(ctx, rand.N(registrationSpread))
	for ctx.Err() == nil {
		if s.registered(address) {
			wait(ctx, registrationCheck)
			continue
		}
		if s.writeRecord(ctx, address) {
			wait(ctx, registrationCheck)
		}
	}
	return ctx.Err()
}

// registered reports whether the store holds a current record of this host.
func (s *Service) registered(address string) bool {
	own, _ := s.Directory.Own()
	age := s.WallClock().Sub(time.UnixMilli(own.WrittenMS))
	return own.Address == address && own.Zone == s.Zone && age < refreshAge && age > -refreshAge
}

// writeRecord writes the record once the directory has been loaded, and reports whether it
// succeeded before the context ended.
func (s *Service) writeRecord(ctx context.Context, address string) bool {
	for delay := minRegistrationDelay; ctx.Err() == nil; delay = min(2*delay, maxRegistrationDelay) {
		if _, loaded := s.Directory.Own(); loaded {
			if s.registered(address) || s.tryWrite(ctx, address) {
				return true
			}
		}
		wait(ctx, delay/2+rand.N(delay/2))
	}
	return false
}

func (s *Service) tryWrite(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	now := s.WallClock().UnixMilli()
	records := []store.Record{Peer{Host: s.Host, Address: address, Zone: s.Zone, WrittenMS: now}.record()}
	expired := s.Directory.Expired(now, maxExpiredPerWrite)
	for _, host := range expired {
		records = append(records, store.Record{Key: hostKeyPrefix + host})
	}
	_, err := s.Store.Append(ctx, replica.TopicStatuses, records)
	s.Logger.Info("host registered for relayed calls", zap.String("address", address), zap.Strings("expired_hosts", expired), zap.Error(err))
	return err == nil
}

// wait waits until d has passed or the context ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
