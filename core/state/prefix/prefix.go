// Package prefix computes the keys of the pieces of a prompt. A piece is a block of
// PieceTokens tokens whose KV cache engines store and look up as a unit.
//
// A key is the end of a hash chain over the client account, the model, its adapter,
// its weights version and the content of all pieces up to and including its own. By
// construction, pieces of different accounts or weights have different keys.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

const (
	// PieceTokens is the length of a piece in tokens.
	PieceTokens = 2000
	// BytesPerToken is the estimate used to divide a prompt into pieces without a
	// tokenizer.
	BytesPerToken = 4
	// PieceBytes is the length of a piece in bytes.
	PieceBytes = PieceTokens * BytesPerToken
	keyBytes   = 16
)

// Key identifies a piece together with all pieces before it.
type Key [keyBytes]byte

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Scope holds the values that separate the cached pieces of different accounts and
// weights.
type Scope struct {
	Account        string
	Model          string
	Adapter        string
	WeightsVersion string
}

// Chain returns the keys of the full pieces of a prompt in order. A shorter last
// piece has no key.
func Chain(scope Scope, prompt string) []Key {
	n := len(prompt) / PieceBytes
	keys := make([]Key, 0, n)
	prev := scope.rootKey()
	for i := range n {
		prev = nextKey(prev, prompt[i*PieceBytes:(i+1)*PieceBytes])
		keys = append(keys, prev)
	}
	return keys
}

// EstimateTokens estimates the length of a prompt in tokens.
func EstimateTokens(prompt string) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

func (s Scope) rootKey() Key {
	h := sha256.New()
	for _, part := range []string{s.Account, s.Model, s.Adapter, s.WeightsVersion} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil)[:keyBytes])
}

func nextKey(prev Key, piece string) Key {
	h := sha256.New()
	h.Write(prev[:])
	h.Write([]byte(piece))
	return Key(h.Sum(nil)[:keyBytes])
}

// ParseKey parses a key in hex.
func ParseKey(s string) (Key, error) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != keyBytes {
		return Key{}, fmt.Errorf("invalid key %q: must be %d bytes in hex", s, keyBytes)
	}
	return Key(raw), nil
}
