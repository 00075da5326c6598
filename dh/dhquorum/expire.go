package dhquorum

import (
	"fmt"
	"strconv"
	"strings"
)

// BucketKey returns a key that can expire: "<prefix>/@<bucket>/<rest>". The
// bucket is a time period numbered by the caller, and must be derived from data
// that the requester sends with every retry. Without the time in the key, a
// voter could not refuse an expired key after it deleted the register.
//
// A voter expires buckets on its own with Voter.Expire. It first syncs a
// watermark, then deletes the registers of all lower buckets and from then on
// refuses every message for such a key. An expired key is never treated as a
// new one: other voters and proposers handle a refusal like a voter that does
// not respond. A proposal succeeds only on a majority of voters that still
// hold the register, and fails with key-expired otherwise. Voters therefore
// need not agree on the time of expiry. A joining voter takes over the highest
// watermark it reads.
func BucketKey(prefix string, bucket uint64, rest string) string {
	return fmt.Sprintf("%s/@%016x/%s", prefix, bucket, rest)
}

// ParseBucketKey returns the prefix and bucket of a key that BucketKey made.
func ParseBucketKey(key string) (prefix string, bucket uint64, ok bool) {
	prefix, rest, ok := strings.Cut(key, "/@")
	if !ok || len(rest) < 17 || rest[16] != '/' {
		return "", 0, false
	}
	bucket, err := strconv.ParseUint(rest[:16], 16, 64)
	return prefix, bucket, err == nil
}

func (s *state) expired(key string) bool {
	if len(s.watermarks) == 0 {
		return false
	}
	prefix, bucket, ok := ParseBucketKey(key)
	return ok && bucket < s.watermarks[prefix]
}

// expire raises the watermark of a prefix and deletes the registers below it.
// It reports whether the watermark increased.
func (s *state) expire(prefix string, before uint64) bool {
	if before <= s.watermarks[prefix] {
		return false
	}
	s.watermarks[prefix] = before
	for key, r := range s.registers {
		if s.expired(key) {
			s.bytes -= sizeOf(key, r)
			delete(s.registers, key)
		}
	}
	s.sorted, s.unsorted = nil, nil
	return true
}
