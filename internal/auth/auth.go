// Package auth checks the bearer keys of callers and operators against the hashes in
// the operators' text, and loads the certificates of the daemon.
package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Identity is the holder of a key. Exactly one of the fields is set.
type Identity struct {
	Organisation model.Organisation
	Operator     string
}

// IsOperator reports whether the identity is an operator.
func (i Identity) IsOperator() bool { return i.Operator != "" }

// String returns "organisation NAME" or "operator NAME".
func (i Identity) String() string {
	if i.IsOperator() {
		return "operator " + i.Operator
	}
	return "organisation " + string(i.Organisation)
}

// HashKey returns the SHA-256 sum of a key in hexadecimal, as it stands in the text.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// MatchHash reports whether key has the given hash. Its time does not depend on how
// much of the hash matches.
func MatchHash(key, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashKey(key)), []byte(hash)) == 1
}

// Identify returns the holder of key. It compares with every hash of the text, so that
// its time does not tell which entry matched.
func Identify(text *config.Config, key string) (Identity, bool) {
	var found Identity
	sum := []byte(HashKey(key))
	ok := false
	for i := range text.Organisations {
		if o := &text.Organisations[i]; matchAny(sum, o.KeyHashes) {
			found, ok = Identity{Organisation: o.Name}, true
		}
	}
	for i := range text.Operators {
		if o := &text.Operators[i]; matchAny(sum, o.KeyHashes) {
			found, ok = Identity{Operator: o.Name}, true
		}
	}
	return found, ok && key != ""
}

func matchAny(sum []byte, hashes []string) bool {
	match := 0
	for _, h := range hashes {
		match |= subtle.ConstantTimeCompare(sum, []byte(h))
	}
	return match == 1
}

type identityKey struct{}

// WithIdentity returns a context that carries the identity of the caller.
func WithIdentity(ctx context.Context, id Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, id)
}

// FromContext returns the identity of the caller, or the zero value.
func FromContext(ctx context.Context) Identity {
	id, _ := ctx.Value(identityKey{}).(Identity)
	return id
}
