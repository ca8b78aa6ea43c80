package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Digest returns a digest of what the caller submitted: two submissions with one ID are
// the same job if and only if their digests are equal. It excludes priority and
// repeatability, which come from the configuration and may differ between the two. It is
// the first half of a SHA-256 sum in hexadecimal, or empty if s cannot be encoded.
func Digest(s model.JobSpec) string {
	s.Priority = 0
	s.NonRepeatable = false
	data, err := json.Marshal(s)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}
