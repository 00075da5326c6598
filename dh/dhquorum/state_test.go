package dhquorum

import (
	"bytes"
	"encoding/hex"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"dandelionhoist.example/dh/dhpb"
)

const recordsFile = "voter-records-format-1.golden"

// records returns one record of each kind.
func records() [][]byte {
	set := VoterSet{Epoch: 3, Voters: []Member{{ID: "id0", Address: "v0", Zone: "a"}}, Next: []Member{{ID: "id1", Address: "v1"}}}
	r := &register{promised: ballot{2, "p"}, accepted: ballot{1, "q"}, value: storedValue{}.withUpdate(7, []byte("value")).encode()}
	return [][]byte{
		record(recordIdentity, []byte("id0")),
		record(recordVoters, set.Encode()),
		protoRecord(recordWatermark, watermarkMessage("claim", 8)),
		protoRecord(recordRegister, r.message("edit/1")),
		protoRecord(recordPromise, &dhpb.RegisterState{Key: "edit/1", Promised: ballot{3, "p"}.message()}),
	}
}

// Guards against an unnoticed change of the voter's records on disk, and
// against a record of this format that can no longer be read.
func TestRecordsGolden(t *testing.T) {
	var text bytes.Buffer
	for _, r := range records() {
		text.WriteString(hex.EncodeToString(r) + "\n")
	}
	golden.AssertBytes(t, text.Bytes(), recordsFile)
	s := newState()
	for _, line := range bytes.Fields(golden.Get(t, recordsFile)) {
		r, err := hex.DecodeString(string(line))
		assert.NilError(t, err)
		assert.NilError(t, s.Apply(r))
	}
	assert.Equal(t, s.id, "id0")
	assert.Equal(t, s.set.Next[0].ID, "id1")
	assert.Equal(t, s.watermarks["claim"], uint64(8))
	got := s.get("edit/1")
	assert.Equal(t, got.promised, ballot{3, "p"})
	assert.Equal(t, got.accepted, ballot{1, "q"})
	v, err := parseStored(got.value)
	assert.NilError(t, err)
	assert.Equal(t, string(v.value), "value")
	assert.DeepEqual(t, v.ops, []uint64{7})
}

// Guards against a record or a stored value that crashes a starting voter or a proposer.
func FuzzRecord(f *testing.F) {
	for _, r := range records() {
		f.Add(r)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := newState()
		if s.Apply(data) == nil {
			for range s.Snapshot() {
				continue
			}
		}
		_, _ = parseStored(data)
	})
}
