package dhsession

import (
	"context"
	"testing/synctest"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhwire"
)

// Edit sends an edit of the tables to a VM. If lost is set, the operator does not
// receive the response.
func (w *Simulation) Edit(vm, id string, base uint64, text string, lost bool) *Edit {
	e := &Edit{ID: id, VM: vm, Base: base, Text: text, Sent: w.Timers.Now(), Code: dhcode.StreamBroken}
	r := w.vms[vm].up()
	if r == nil {
		w.History.recordEdit(e)
		return e
	}
	w.group.Go(func(ctx context.Context) error {
		out, err := r.operators.EditTables(ctx, &dhpb.EditTablesRequest{EditId: id, BaseRevision: base, Author: "operator", Tables: []byte(text)})
		if lost || w.vms[vm].up() != r {
			w.History.recordEdit(e)
			return nil
		}
		e.At, e.Revision, e.Code = w.Timers.Now(), out.GetRevision(), dhcode.Of(dhwire.FromConnect(err))
		w.History.recordEdit(e)
		return nil
	})
	synctest.Wait()
	return e
}

// Tables returns the newest tables that a VM returns to operators.
func (w *Simulation) Tables(vm string) (revision uint64, text string) {
	r := w.vms[vm].up()
	if r == nil {
		return 0, ""
	}
	out, _ := r.operators.GetTables(context.Background(), &dhpb.GetTablesRequest{})
	return out.GetRevision(), string(out.GetTables())
}

// probe records the newest revision of each VM.
func (w *Simulation) probe() {
	for _, name := range w.vmNames {
		r := w.vms[name].up()
		if r == nil || r.stopping {
			continue
		}
		out, err := r.operators.GetTables(context.Background(), &dhpb.GetTablesRequest{})
		if err == nil {
			w.History.recordRevision(name, out.GetRevision(), out.GetTables())
		}
	}
}

// ExportBills reads all bills through a VM and reports whether the list is
// complete.
func (w *Simulation) ExportBills(vm string) bool {
	r := w.vms[vm].up()
	if r == nil {
		return false
	}
	var bills []*dhpb.Bill
	ended, complete := false, false
	w.group.Go(func(ctx context.Context) error {
		defer func() { ended = true }()
		for after := uint64(0); ; {
			out, err := r.operators.ExportBills(ctx, &dhpb.ExportBillsRequest{After: after, Limit: 1000})
			if err != nil {
				w.History.addLine("bills: %v", err)
				return nil
			}
			bills = append(bills, out.GetBills()...)
			if len(out.GetBills()) == 0 || out.GetNext() == after {
				complete = out.GetComplete()
				return nil
			}
			after = out.GetNext()
		}
	})
	w.StepUntil(10*time.Second, func() bool { return ended })
	w.History.recordBills(bills, complete)
	return complete
}
