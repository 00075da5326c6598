package dhlease_test

import (
	"encoding/hex"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// Guards against a change of the stored format that a daemon of another
// release cannot read. The file of format 1 stays when a format 2 is added.
func TestGoldenFormat(t *testing.T) {
	const name = "order-format-1.hex"
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&dhpb.OrderLease{
		Format: 1, Token: 4, Holder: "vm-b/start-1", Renewal: 9, LeaseMs: 10000, Released: true, QuietToken: 3, OlderLeaseMs: 0,
	})
	assert.NilError(t, err)
	golden.Assert(t, hex.EncodeToString(data)+"\n", name)
	stored, err := hex.DecodeString(strings.TrimSpace(string(golden.Get(t, name))))
	assert.NilError(t, err)
	w := newSimulation(t, 1)
	_, err = w.store.Update(t.Context(), "order/atelier-llm", func([]byte) ([]byte, error) { return stored, nil })
	assert.NilError(t, err)
	token, code := w.acquire(0)
	assert.Equal(t, code, dhcode.OK)
	assert.Equal(t, token, uint64(5))
	_, ok := w.holders[0].MayOrder(w.clocks[0].Now(), false)
	assert.Assert(t, ok)
}
