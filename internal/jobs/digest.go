package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Digest identifies what a caller submitted: two submissions under one id are the
// same job exactly when their digests are equal. Priority and repeatability come
// from the operators' text and may differ between the two.
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
