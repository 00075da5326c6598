package dhcontrol

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// views caches the encoded full registry for callers without a position: many ask
// at once after a restart or when they switch from another control VM. It is safe
// for concurrent use.
type views struct {
	mu        sync.Mutex
	encoded   []byte
	position  uint64
	encodedAt time.Time
}

// viewCacheTTL is how long an encoded view is reused. Changes made after it was
// encoded are included in the next response.
const viewCacheTTL = 100 * time.Millisecond

func (v *views) get(now time.Time, registry *dhbackend.Registry) (encoded []byte, position uint64, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.encodedAt.IsZero() && now.Sub(v.encodedAt) < viewCacheTTL {
		return v.encoded, v.position, nil
	}
	records, position := registry.Content(0)
	encoded, err = proto.Marshal(&dhpb.BackendList{Backends: records})
	if err != nil {
		return nil, 0, dhcode.Wrap(dhcode.Internal, err)
	}
	v.encoded, v.position, v.encodedAt = encoded, position, now
	return encoded, position, nil
}
