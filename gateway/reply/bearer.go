package reply

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Digest returns the SHA-256 of the parts, separated by zero bytes. Two different lists
// with the same number of parts have different digests if only their last parts contain
// zero bytes.
func Digest(parts ...[]byte) model.Digest {
	hash := sha256.New()
	for i, part := range parts {
		if i > 0 {
			hash.Write([]byte{0})
		}
		hash.Write(part)
	}
	return model.Digest(hex.EncodeToString(hash.Sum(nil)))
}

// IsDigest reports whether s is a lower-case hexadecimal SHA-256.
func IsDigest(s string) bool {
	if len(s) != 2*sha256.Size || strings.ToLower(s) != s {
		return false
	}
	_, err := hex.DecodeString(s)
	return err == nil
}

// BearerDigest returns the hash of the bearer token of r, or an empty Digest if r has
// no Authorization header. Any other form of the header is refused as KeyRejected,
// so that a caller who intended to send a key is never treated as one without a key.
func BearerDigest(r *http.Request) (model.Digest, *problem.Problem) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", problem.New(problem.KeyRejected, "more than one Authorization header")
	}
	scheme, token, _ := strings.Cut(values[0], " ")
	token = strings.TrimSpace(token)
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", problem.New(problem.KeyRejected, "Authorization must be Bearer and a key")
	}
	return Digest([]byte(token)), nil
}
