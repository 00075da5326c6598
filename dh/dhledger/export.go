package dhledger

import (
	"cmp"
	"context"
	"errors"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// maxCopied bounds the remembered cursors between pairs of voters.
const maxCopied = 64

// Export is a page of bills.
type Export struct {
	Bills []*dhpb.Bill
	// Next is the cursor for the next page.
	Next uint64
	// Complete is set on the last page when it and the pages before it contain
	// every bill whose Put had returned before this call.
	Complete bool
	// Missing names the VMs because of which the export is not complete: they
	// hold bills or did not answer.
	Missing []string
}

// copyKey is a pair of voters, by their identities.
type copyKey struct{ from, to string }

// Export returns up to limit bills after a cursor; 0 starts. Bills come in the
// order of one voter's numbers; a request's bill that was replaced by the merge
// comes again, and the later one counts. Code quorum-unreachable: no voter
// answered.
func (l *Ledger) Export(ctx context.Context, after uint64, limit int) (*Export, error) {
	export := &Export{Missing: l.holders(ctx)}
	sets := l.Voters()
	voters := distinct(sets)
	primary, err := l.primary(ctx, voters, after)
	if err != nil {
		return nil, err
	}
	// Holders are asked first: a bill that they no longer hold is on a majority
	// of voters, of which the copies below read at least one.
	whole := map[string]bool{primary.Name: true}
	var silent []string
	for _, v := range voters {
		if v.Name == primary.Name {
			continue
		}
		if err := l.copyBills(ctx, v, primary); err == nil {
			whole[v.Name] = true
		} else {
			silent = append(silent, v.Name)
		}
	}
	if !majority(sets, whole) {
		export.Missing = append(export.Missing, silent...)
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

// Forget removes bills that have been exported and stored elsewhere, and
// returns how many voters have done so. One that has not lists them again.
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

// holders names the VMs that hold bills or do not say.
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

// primary picks the voter that the cursor belongs to, else the first that answers.
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

// copyBills brings the bills of one voter to another. Later calls copy only
// what has been added since.
func (l *Ledger) copyBills(ctx context.Context, from, to Peer) error {
	key := copyKey{from.VoterID, to.VoterID}
	l.mu.Lock()
	after := l.copied[key]
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
		if l.copied == nil || len(l.copied) > maxCopied {
			l.copied = make(map[copyKey]uint64)
		}
		l.copied[key] = after
		l.mu.Unlock()
	}
}

func (l *Ledger) list(ctx context.Context, p Peer, after uint64, limit int) (*dhpb.ExportBillsResponse, error) {
	ctx, cancel := dhtimer.WithTimeout(ctx, l.Timers, cmp.Or(l.VoterTimeout, VoterTimeout))
	defer cancel()
	return p.Client.ListBills(ctx, &dhpb.ExportBillsRequest{After: after, Limit: int32(limit)})
}
