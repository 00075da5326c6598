package dhledger

import (
	"cmp"
	"context"
	"errors"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// maxCopyCursors is the maximum number of pairs of voters whose copy cursor is
// kept.
const maxCopyCursors = 64

// Export is a page of bills.
type Export struct {
	Bills []*dhpb.Bill
	// Next is the cursor of the next page.
	Next uint64
	// Complete is set on the last page if the pages up to and including it
	// contain every bill whose Put had returned before this call.
	Complete bool
	// Missing names the VMs that make the export incomplete: they still hold
	// bills in memory or did not answer.
	Missing []string
}

// voterPair identifies the source and the target of a copy by voter id.
type voterPair struct{ from, to string }

// Export returns up to limit bills after a cursor; cursor 0 starts at the
// beginning. Bills are listed in the order of one voter's sequence numbers. If a
// merge replaced the bill of a request after it was listed, the new bill is
// listed too, and the later one is valid. Code quorum-unreachable means that no
// voter answered.
func (l *Ledger) Export(ctx context.Context, after uint64, limit int) (*Export, error) {
	export := &Export{Missing: l.holders(ctx)}
	sets := l.Voters()
	voters := distinct(sets)
	primary, err := l.primary(ctx, voters, after)
	if err != nil {
		return nil, err
	}
	// Holders were queried first, above: a bill that they no longer hold is on a
	// majority of voters, and the copies below read at least one of those voters.
	merged := map[string]bool{primary.Name: true}
	var notCopied []string
	for _, v := range voters {
		if v.Name == primary.Name {
			continue
		}
		if err := l.copyBills(ctx, v, primary); err == nil {
			merged[v.Name] = true
		} else {
			notCopied = append(notCopied, v.Name)
		}
	}
	if !majority(sets, merged) {
		export.Missing = append(export.Missing, notCopied...)
	}
	page, err := l.list(ctx, primary, after, limit)
	if err != nil {
		return nil, dhcode.Wrap(dhcode.QuorumUnreachable, err)
	}
	export.Bills, export.Next = page.GetBills(), page.GetNext()
	if len(export.Missing) == 0 {
		rest, err := l.list(ctx, primary, export.Next, 1)
		export.Complete = err == nil && len(rest.GetBills()) == 0
	}
	return export, nil
}

// Forget removes bills that have been exported and stored elsewhere, and returns
// the number of voters that removed them. Other voters will list them again.
func (l *Ledger) Forget(ctx context.Context, requestIDs []string) (voters int, err error) {
	if len(requestIDs) > MaxList {
		return 0, dhcode.Errorf(dhcode.RequestTooLarge, "%d bills to forget, at most %d are accepted", len(requestIDs), MaxList)
	}
	for _, v := range distinct(l.Voters()) {
		if l.deliver(ctx, v.Client, &dhpb.PutBillsRequest{Forget: requestIDs}) == nil {
			voters++
		}
	}
	if voters == 0 {
		return 0, dhcode.Errorf(dhcode.QuorumUnreachable, "no voter has forgotten the bills")
	}
	return voters, nil
}

// holders returns the names of the VMs that hold bills in memory or did not
// answer.
func (l *Ledger) holders(ctx context.Context) []string {
	var names []string
	if l.Held() > 0 {
		names = append(names, l.Name)
	}
	for _, p := range l.Known() {
		if answer, err := l.list(ctx, p, 0, 1); err != nil || !answer.GetComplete() {
			names = append(names, p.Name)
		}
	}
	return names
}

// primary returns the voter that issued the cursor if it answers, or else the
// first voter that does.
func (l *Ledger) primary(ctx context.Context, voters []Peer, after uint64) (Peer, error) {
	var errs []error
	for pass := range 2 {
		for _, v := range voters {
			own := after != 0 && cursorBase(v.VoterID) == after>>sequenceBits<<sequenceBits
			if own != (pass == 0) {
				continue
			}
			_, err := l.list(ctx, v, after, 1)
			if err == nil {
				return v, nil
			}
			errs = append(errs, err)
		}
	}
	return Peer{}, dhcode.Wrap(dhcode.QuorumUnreachable, errors.Join(append(errs, errors.New("no voter listed its bills"))...))
}

// copyBills copies the bills of one voter to another. Later calls copy only the
// bills added since.
func (l *Ledger) copyBills(ctx context.Context, from, to Peer) error {
	key := voterPair{from.VoterID, to.VoterID}
	l.mu.Lock()
	after := l.copyCursors[key]
	l.mu.Unlock()
	for {
		page, err := l.list(ctx, from, after, MaxBatch)
		if err != nil {
			return err
		}
		if page.GetNext() == after || after == 0 && len(page.GetBills()) == 0 {
			return nil
		}
		if len(page.GetBills()) > 0 {
			if err := l.deliver(ctx, to.Client, &dhpb.PutBillsRequest{Bills: page.GetBills()}); err != nil {
				return err
			}
		}
		after = page.GetNext()
		l.mu.Lock()
		if l.copyCursors == nil || len(l.copyCursors) > maxCopyCursors {
			l.copyCursors = make(map[voterPair]uint64)
		}
		l.copyCursors[key] = after
		l.mu.Unlock()
	}
}

func (l *Ledger) list(ctx context.Context, p Peer, after uint64, limit int) (*dhpb.ExportBillsResponse, error) {
	ctx, cancel := dhtimer.WithTimeout(ctx, l.Timers, cmp.Or(l.VoterTimeout, VoterTimeout))
	defer cancel()
	return p.Client.ListBills(ctx, &dhpb.ExportBillsRequest{After: after, Limit: int32(limit)})
}
