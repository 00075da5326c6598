package dhedit_test

import (
	"encoding/hex"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhquorum"
)

// Guards against a change of the stored formats that a daemon of another
// release cannot read. When a format 2 is added, the files of format 1 stay.
func TestGoldenFormat(t *testing.T) {
	old, next := &dhquorum.Memory{}, &dhquorum.Memory{}
	first := dhedit.Edit{ID: "first", Author: "ines", Text: []byte(`{"format": 1}`)}
	_, err := newEditor(old).Edit(t.Context(), first)
	assert.NilError(t, err)
	for key, name := range map[string]string{"edit/first": "edit-format-1.hex", "revision/1": "revision-format-1.hex"} {
		value, err := old.Read(t.Context(), key)
		assert.NilError(t, err)
		golden.Assert(t, hex.EncodeToString(value)+"\n", name)
		stored, err := hex.DecodeString(strings.TrimSpace(string(golden.Get(t, name))))
		assert.NilError(t, err)
		_, err = next.Update(t.Context(), key, func([]byte) ([]byte, error) { return stored, nil })
		assert.NilError(t, err)
	}
	e := newEditor(next)
	newest, err := dhedit.CatchUp(t.Context(), next, e.Revisions)
	assert.NilError(t, err)
	assert.Equal(t, newest, uint64(1))
	revision, err := e.Edit(t.Context(), first)
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(1))
}
