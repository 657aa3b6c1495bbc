package tree

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"
)

// ErrHash is returned by UnmarshalText for text that is not a SHA-256 hash in hexadecimal.
var ErrHash = errors.New("not a SHA-256 hash in hexadecimal")

// Hash is the SHA-256 hash of the secret of an API key or credential.
type Hash [sha256.Size]byte

// HashSecret returns the hash of a secret. Secrets are long and random, so a fast,
// unsalted hash is sufficient.
func HashSecret(secret string) Hash { return sha256.Sum256([]byte(secret)) }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText encodes the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText decodes the hash from hexadecimal.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return ErrHash
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return fmt.Errorf("%w: %w", ErrHash, err)
	}
	return nil
}
