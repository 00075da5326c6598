package dhcontrol

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// views keeps the encoded registry for callers that know nothing yet: many
// ask at once after a restart or when they leave another control VM. It is
// safe for use by several goroutines.
type views struct {
	mu       sync.Mutex
	encoded  []byte
	position uint64
	made     time.Time
}

// viewKept is how long an encoded view is given out. What has changed since it
// was made comes with the next answer.
const viewKept = 100 * time.Millisecond

func (v *views) get(now time.Time, registry *dhbackend.Log) (encoded []byte, position uint64, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.made.IsZero() && now.Sub(v.made) < viewKept {
		return v.encoded, v.position, nil
	}
	records, position := registry.Content(0)
	encoded, err = proto.Marshal(&dhpb.BackendList{Backends: records})
	if err != nil {
		return nil, 0, dhcode.Wrap(dhcode.Internal, err)
	}
	v.encoded, v.position, v.made = encoded, position, now
	return encoded, position, nil
}
