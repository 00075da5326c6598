package dhdaemon

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhjournal"
	"dandelionhoist.example/dh/dhledger"
	"dandelionhoist.example/dh/dhpb"
)

// Guards against a bill that is synced after the snapshot of a compaction was
// taken and applied to the set only then, which a restart would lose.
func TestCompactionKeepsBills(t *testing.T) {
	disk := new(dhdisk.Memory)
	store := &dhledger.Store{VoterID: "v"}
	journal, err := dhjournal.Open(disk, "bills", storeState{store})
	assert.NilError(t, err)
	group := dhjournal.NewGroup(journal)
	store.Journal = billJournal{group}
	running := dhgroup.New(t.Context())
	running.Go(group.Run)

	const writers, each = 8, 200
	puts := dhgroup.New(t.Context())
	for w := range writers {
		puts.Go(func(context.Context) error {
			for i := range each {
				// A second bill of the same request makes old records garbage.
				for revision := uint64(3); revision > 0; revision-- {
					bill := &dhpb.Bill{RequestId: fmt.Sprintf("%d-%d", w, i), Revision: revision, Route: strings.Repeat("r", 200)}
					if err := store.Put([]*dhpb.Bill{bill}); err != nil {
						return err
					}
				}
			}
			return nil
		})
	}
	assert.NilError(t, puts.Wait())
	running.Stop()
	assert.NilError(t, running.Wait())

	disk.Crash()
	restored := &dhledger.Store{VoterID: "v"}
	_, err = dhjournal.Open(disk, "bills", storeState{restored})
	assert.NilError(t, err)
	bills, _ := restored.List(0, writers*each+1)
	assert.Equal(t, len(bills), writers*each)
	for _, b := range bills {
		assert.Equal(t, b.GetRevision(), uint64(1), b.GetRequestId())
	}
}
