package dhledger_test

import (
	"encoding/hex"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"dandelionhoist.example/dh/dhledger"
	"dandelionhoist.example/dh/dhpb"
)

// Guards against a change of the record format that voters of other releases
// cannot read. Keep the golden file of format 1 when a format 2 is added.
func TestGoldenFormat(t *testing.T) {
	const name = "bills-format-1.hex"
	j := &journal{}
	b := &dhpb.Bill{
		RequestId: "request-1", Account: "crew-east", Route: "cut-lists", Model: "oak", Version: "v2",
		Tokens: 310, Cost: 3.1, Revision: 7, IdempotencyKey: "key-1",
	}
	assert.NilError(t, (&dhledger.Store{Journal: j}).Put([]*dhpb.Bill{b}))
	golden.Assert(t, hex.EncodeToString(j.records[0])+"\n", name)
	record, err := hex.DecodeString(strings.TrimSpace(string(golden.Get(t, name))))
	assert.NilError(t, err)
	var restored dhledger.Store
	assert.NilError(t, restored.Restore(record))
	bills, _ := restored.List(0, 10)
	assert.Equal(t, len(bills), 1)
	assert.Assert(t, proto.Equal(bills[0], b))
}

// Guards against a journal record that makes a voter panic at startup.
func FuzzRestore(f *testing.F) {
	text, err := os.ReadFile("testdata/bills-format-1.hex")
	assert.NilError(f, err)
	record, err := hex.DecodeString(strings.TrimSpace(string(text)))
	assert.NilError(f, err)
	f.Add(record)
	f.Add(record[:len(record)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var s dhledger.Store
		if s.Restore(data) != nil {
			return
		}
		bills, next := s.List(0, 10)
		again, _ := s.List(next, 10)
		assert.Assert(t, len(bills) == 10 || len(again) == 0)
	})
}

// BenchmarkStore reports the memory that a voter needs per bill.
func BenchmarkStore(b *testing.B) {
	s := &dhledger.Store{Journal: discard{}}
	before := heap()
	for i := range b.N {
		if err := s.Put([]*dhpb.Bill{bill(fmt.Sprintf("request-%08d", i), 1, i)}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heap()-before)/float64(b.N), "heap-B/bill")
	runtime.KeepAlive(s)
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

type discard struct{}

func (discard) Append(_ []byte, apply func()) error {
	apply()
	return nil
}
