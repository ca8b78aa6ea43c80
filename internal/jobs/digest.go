package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Digest identifies what a caller submitted: two submissions under one id are the
// same job exactly when their digests are equal.
func Digest(s model.JobSpec) string {
	data, err := json.Marshal(s)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}
