package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/carawayrack/carawayrack/refusal"
)

// Key is an API key that was issued to a client account. Only the digest of the
// secret is stored.
type Key struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// Hash is the hexadecimal SHA-256 digest of the whole key as issued,
	// with prefix and ID.
	Hash      string `json:"hash"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

const (
	keyPrefix      = "cwr_"
	keyIDBytes     = 8
	keySecretBytes = 24
)

// NewKey generates a random key for an account. It returns the key as the client
// presents it and the form that is stored.
func NewKey(account string) (string, Key) {
	b := make([]byte, keyIDBytes+keySecretBytes)
	// rand.Read never returns an error on supported platforms.
	_, _ = rand.Read(b)
	id := hex.EncodeToString(b[:keyIDBytes])
	s := keyPrefix + id + "_" + hex.EncodeToString(b[keyIDBytes:])
	return s, Key{ID: id, Account: account, Hash: hashKey(s)}
}

func hashKey(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:])
}

// Authenticate returns the stored key for the key that a client has presented.
// The refusal is KeyMissing, KeyUnknown or KeyWithdrawn, and nil for a valid
// key. With KeyWithdrawn, the stored key is returned too.
func (s *State) Authenticate(presented string) (Key, *refusal.Refusal) {
	if presented == "" {
		return Key{}, refusal.New(refusal.KeyMissing, "")
	}
	id, _, _ := strings.Cut(strings.TrimPrefix(presented, keyPrefix), "_")
	k := s.Keys[id]
	if subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hashKey(presented))) != 1 {
		return Key{}, refusal.New(refusal.KeyUnknown, "")
	}
	if k.Withdrawn {
		return k, refusal.New(refusal.KeyWithdrawn, "key "+id)
	}
	return k, nil
}
