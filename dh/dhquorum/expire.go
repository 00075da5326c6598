package dhquorum

import (
	"fmt"
	"strconv"
	"strings"
)

// BucketKey returns a key that can expire: "<prefix>/@<bucket>/<rest>". The
// bucket is a time period numbered by the caller, and must follow from what
// the requester sends with every resend. A key that does not carry its time
// cannot be both forgotten and refused later.
//
// A voter expires buckets on its own with Voter.Expire. It first syncs a
// watermark, then drops the registers of all lower buckets and from then on
// refuses every message for such a key. An expired key is never taken as
// fresh: to other voters and proposers a refusal is the same as a voter that
// does not answer. A proposal succeeds only on a majority of voters that still
// hold the register, and fails with key-expired otherwise. This needs no
// agreement on the time of expiry. A voter that joins takes over the highest
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

// expire raises a watermark and drops the registers below it. It reports
// whether the watermark rose.
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
	s.sorted, s.fresh = nil, nil
	return true
}
