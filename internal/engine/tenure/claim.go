package tenure

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/store"
)

const (
	// claimTopic and claimKey hold the claim of the host that is about to take over. Its
	// value names what is claimed and the claimant.
	claimTopic = "keyed.claims"
	claimKey   = "takeover"
	// claimTimeout is how long a claim of another host is respected: several times the
	// duration of an eviction and a join.
	claimTimeout = time.Second
)

// vacancy returns what is claimed after the owner has failed or left: the tenure that its
// last record belongs to. All hosts whose copies are complete name it the same way.
func (e *Elector) vacancy() string { return "after/" + strconv.FormatInt(e.OwnerOffset(), 10) }

// claim reports whether this host may take over what is claimed. Of several hosts that try
// at the same time, one gets the claim, by a conditional append; the others stand by, and
// try again if the claimant has not become the owner within claimTimeout.
func (e *Elector) claim(ctx context.Context, subject string) bool {
	ctx, cancel := context.WithTimeout(ctx, e.TTL/2)
	defer cancel()
	records, end, err := e.Store.Newest(ctx, claimTopic)
	if err != nil {
		e.Logger.Debug("the claims cannot be read", zap.Error(err))
		return false
	}
	for _, r := range records {
		if r.Key == claimKey && e.mustRespect(parseClaim(string(r.Value)), subject) {
			return false
		}
	}
	own := takeoverClaim{subject: subject, member: e.Member(), wallMS: e.WallClock().UnixMilli()}
	if _, err := e.Store.AppendAt(ctx, claimTopic, end, []store.Record{{Key: claimKey, Value: []byte(own.String())}}); err != nil {
		switch {
		case errors.Is(err, store.ErrInvalid):
			e.Logger.Error("the store rejects this host's claim of the takeover", zap.Error(err))
		case !errors.Is(err, store.ErrConflict):
			e.Logger.Debug("the takeover cannot be claimed", zap.Error(err))
		}
		return false
	}
	return true
}

// takeoverClaim is the claim of a host that is about to take over.
type takeoverClaim struct {
	subject, member string
	wallMS          int64 // Unix milliseconds on the claimant's clock
}

const claimSeparator = " "

// String returns the claim as the value of a record.
func (c takeoverClaim) String() string {
	return strings.Join([]string{c.subject, c.member, strconv.FormatInt(c.wallMS, 10)}, claimSeparator)
}

// parseClaim parses the value of a record. A malformed claim is returned as one that
// nobody has to respect.
func parseClaim(value string) takeoverClaim {
	parts := strings.Split(value, claimSeparator)
	if len(parts) != 3 {
		return takeoverClaim{}
	}
	wallMS, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return takeoverClaim{}
	}
	return takeoverClaim{subject: parts[0], member: parts[1], wallMS: wallMS}
}

// mustRespect reports whether another host's claim is recent. A claim with another subject
// comes from a host that knows more or fewer records of the owner; whether it is recent can
// then only be told by the clocks of the hosts, which are nearly equal.
func (e *Elector) mustRespect(c takeoverClaim, subject string) bool {
	if c.member == "" || c.member == e.Member() {
		return false
	}
	if c != e.lastClaim {
		e.lastClaim, e.lastClaimAt = c, e.Now()
	}
	if e.Now()-e.lastClaimAt >= claimTimeout {
		return false
	}
	age := time.Duration(e.WallClock().UnixMilli()-c.wallMS) * time.Millisecond
	return c.subject == subject || age.Abs() < claimTimeout
}
