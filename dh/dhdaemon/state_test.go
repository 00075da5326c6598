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

// Guards against a bill that a restart loses because it is synced, and only
// then applied to the set, after a compaction has taken its snapshot.
func TestCompactionKeepsBills(t *testing.T) {
	disk := new(dhdisk.Memory)
	store := &dhledger.Store{VoterID: "v"}
	journal, err := dhjournal.Open(disk, "bills", billState{store})
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
				// Further bills of the same request make the earlier records obsolete.
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
	_, err = dhjournal.Open(disk, "bills", billState{restored})
	assert.NilError(t, err)
	bills, _ := restored.List(0, writers*each+1)
	assert.Equal(t, len(bills), writers*each)
	for _, b := range bills {
		assert.Equal(t, b.GetRevision(), uint64(1), b.GetRequestId())
	}
}
