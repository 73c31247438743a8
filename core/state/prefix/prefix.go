// Package prefix names the cached pieces of a prompt.
//
// A key is a hash chain over the client account, the model, its adapter, its
// weights version and the content of every piece up to the named one, so an
// entry of another account or of other weights can't match by construction.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

const (
	// PieceTokens is the length of one cached piece in tokens.
	PieceTokens = 2000
	// BytesPerToken is the estimate used to cut a prompt without a tokenizer.
	BytesPerToken = 4
	// PieceBytes is the length of one cached piece in bytes.
	PieceBytes = PieceTokens * BytesPerToken
	keyBytes   = 16
)

// Key names one cached piece together with all that stands before it.
type Key [keyBytes]byte

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Scope is what separates the caches of different accounts and weights.
type Scope struct {
	Account        string
	Model          string
	Adapter        string
	WeightsVersion string
}

// Chain returns the keys of the full pieces of prompt, shortest prefix first.
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

// ParseKey reads a key from hex.
func ParseKey(s string) (Key, error) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != keyBytes {
		return Key{}, fmt.Errorf("%q is not a key of %d bytes in hex", s, keyBytes)
	}
	return Key(raw), nil
}
