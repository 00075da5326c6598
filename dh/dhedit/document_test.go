package dhedit_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquorum"
)

// Guards against an older document, or other content under the same number, that
// replaces the document in force.
func TestHighestDocumentIsInForce(t *testing.T) {
	documents := dhedit.Documents{Registers: new(dhquorum.Memory)}
	none, err := documents.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, none.GetVersion(), uint64(0))
	for _, c := range []struct {
		version uint64
		text    string
		want    string
	}{{7, "seven", "seven"}, {3, "three", "seven"}, {7, "other", "seven"}, {12, "twelve", "twelve"}} {
		inForce, err := documents.Replace(t.Context(), &dhpb.Document{Version: c.version, Text: []byte(c.text)})
		assert.NilError(t, err)
		assert.Equal(t, string(inForce.GetText()), c.want)
		read, err := documents.Read(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, string(read.GetText()), c.want)
	}
}
