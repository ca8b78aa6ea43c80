// Package auth authenticates callers and operators by the key hashes in the
// configuration, and loads the TLS certificates of the daemon.
package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Identity is the organisation or operator that owns a key. Exactly one field is set, except
// in the zero value, which identifies nobody.
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

// HashKey returns the SHA-256 hash of a key in hexadecimal, the form that the configuration
// uses.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// MatchHash reports whether hash is the HashKey of key. The comparison takes constant time.
func MatchHash(key, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashKey(key)), []byte(hash)) == 1
}

// Identify returns the owner of key and reports whether there is one. It always compares
// key with every hash of the configuration, so that its duration does not reveal which
// entry matched.
func Identify(cfg *config.Config, key string) (Identity, bool) {
	var found Identity
	sum := []byte(HashKey(key))
	ok := false
	for i := range cfg.Organisations {
		if o := &cfg.Organisations[i]; matchesAnyHash(sum, o.KeyHashes) {
			found, ok = Identity{Organisation: o.Name}, true
		}
	}
	for i := range cfg.Operators {
		if o := &cfg.Operators[i]; matchesAnyHash(sum, o.KeyHashes) {
			found, ok = Identity{Operator: o.Name}, true
		}
	}
	return found, ok && key != ""
}

// matchesAnyHash reports whether sum equals one of the hashes. It compares all of them.
func matchesAnyHash(sum []byte, hashes []string) bool {
	match := 0
	for _, h := range hashes {
		match |= subtle.ConstantTimeCompare(sum, []byte(h))
	}
	return match == 1
}

type identityContextKey struct{}

// WithIdentity returns a copy of ctx with the identity of the caller.
func WithIdentity(ctx context.Context, id Identity) context.Context {
	return context.WithValue(ctx, identityContextKey{}, id)
}

// FromContext returns the identity of the caller, or the zero value.
func FromContext(ctx context.Context) Identity {
	id, _ := ctx.Value(identityContextKey{}).(Identity)
	return id
}
