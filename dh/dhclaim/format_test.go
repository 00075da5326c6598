package dhclaim

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

// Guards against a change of the stored format that other releases cannot read.
// Keep the golden file of format 1 when a format 2 is added.
func TestGoldenFormat(t *testing.T) {
	const name = "claim-format-1.hex"
	v := &dhpb.ClaimValue{
		State: dhpb.ClaimState_CLAIM_STATE_DONE, RequestHash: []byte{1, 2, 3}, RequestId: "request-1", Owner: "vm-a.1",
		Take: "take-1", Attempt: 2, TakenAt: 1767225600, ResultCode: dhcode.OK.String(), Answer: &dhpb.AskResponse{Text: "cut list"},
	}
	data, err := encode(v)
	assert.NilError(t, err)
	golden.Assert(t, hex.EncodeToString(data)+"\n", name)
	stored, err := hex.DecodeString(strings.TrimSpace(string(golden.Get(t, name))))
	assert.NilError(t, err)
	got, err := decode("claim/a/k", stored)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(got, v))
	assert.Equal(t, statusOf(got).State, Done)
}

// Guards against overwriting a stored value whose format is newer than the
// program knows.
func TestNewerFormatIsRefused(t *testing.T) {
	w := newTestEnv()
	newer, err := proto.Marshal(&dhpb.ClaimValue{Format: valueFormat + 1, State: dhpb.ClaimState_CLAIM_STATE_TAKEN})
	assert.NilError(t, err)
	_, err = w.store.Update(t.Context(), registerKey("crew-east", "k"), func([]byte) ([]byte, error) { return newer, nil })
	assert.NilError(t, err)
	_, _, err = w.vm("a").Take(t.Context(), request("k"))
	assert.ErrorContains(t, err, "has format 2")
	value, err := w.store.Read(t.Context(), registerKey("crew-east", "k"))
	assert.NilError(t, err)
	assert.DeepEqual(t, value, newer)
}

// Guards against stored values that make a voter or an entry VM panic.
func FuzzCompact(f *testing.F) {
	f.Add("claim/a/k", []byte{8, 1}, []byte{16, 1})
	f.Add("claim/", []byte{0xff}, []byte{0xff})
	f.Add("claim/a/t1767225600-k", []byte{}, []byte{8, 1, 16, 0x80, 0x80, 0x80, 0x80, 0x80, 1})
	f.Fuzz(func(t *testing.T, key string, value, clock []byte) {
		if v, err := decode(key, value); err == nil {
			_, _ = outcomeFor(request("k"), v)
		}
		kept, keep := Compact(key, value, clock, 0)
		assert.Assert(t, keep || kept == nil)
	})
}
