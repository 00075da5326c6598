package dhquarantine_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhquarantine"
)

// Guards against two requests that are taken for one: of two callers, or with a boundary
// between fields at another place.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	seen := map[uint64]string{}
	for _, r := range [][5]string{
		{"acme", "GET", "h", "/a", ""},
		{"acme", "GET", "h", "/a?b", ""},
		{"acme", "GET", "h", "/a", "?b"},
		{"acme", "POST", "h", "/a", ""},
		{"other", "GET", "h", "/a", ""},
		{"", "GET", "h", "/a", ""},
		{"acmeG", "ET", "h", "/a", ""},
		{"acme", "GET", "h/", "a", ""},
		{"acme", "GET", "g", "/a", ""},
	} {
		id := dhquarantine.Fingerprint(r[0], r[1], r[2], r[3], []byte(r[4]))
		assert.Assert(t, id != 0 && seen[id] == "", "%v and %v", r, seen[id])
		seen[id] = fmt.Sprint(r)
		assert.Equal(t, id, dhquarantine.Fingerprint(r[0], r[1], r[2], r[3], []byte(r[4])))
	}
}

// BenchmarkFingerprint measures the cost of identifying a request by the length of its body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10, 4 << 20} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				dhquarantine.Fingerprint("acme", "POST", "plan.example", "/lohu930/2f", body)
			}
		})
	}
}
