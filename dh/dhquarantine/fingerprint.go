package dhquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// Fingerprint identifies a request that comes again: the same client account asks for the
// same with the same body. It is a cryptographic hash, so that no caller can construct a
// request with the fingerprint of another caller's. It is never 0.
func Fingerprint(account, method, host, target string, body []byte) uint64 {
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{account, method, host, target} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // a hash accepts every write
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(body)
	return max(binary.BigEndian.Uint64(h.Sum(nil)), 1)
}
