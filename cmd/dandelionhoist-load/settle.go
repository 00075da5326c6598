package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
)

const (
	billsPage = 1000
	// billsTries and billsPause bound the wait for bills that entry VMs have
	// not yet handed over.
	billsTries = 20
	billsPause = 500 * time.Millisecond
)

// billing is what the ledger says about a run.
type billing struct {
	read     bool
	complete bool
	bills    int
	cost     float64
	err      error
}

// qualityRow is a version's quality as status shows it.
type qualityRow struct {
	version string
	quality float64
	answers int64
}

// checkRefusedOrders asks for the outcome of orders that a server refused as
// not run: none of them may have run.
func (l *load) checkRefusedOrders(ctx context.Context, report *report) {
	for _, id := range slices.Sorted(maps.Keys(report.requests)) {
		result := report.requests[id]
		if !result.notRun || result.key == "" {
			continue
		}
		response, err := l.Routers[result.account][0].Outcome(ctx, &dhpb.OutcomeRequest{IdempotencyKey: result.key})
		if err != nil {
			report.addRetry("outcome not available")
			continue
		}
		if s := response.GetState(); s == "done" || s == "dispatching" || s == "broken" {
			report.violate("order %s was refused as not run and its state is %s", result.key, s)
		}
	}
}

// settle reads bills and quality from the first server that answers, and
// checks the bills.
func (l *load) settle(ctx context.Context, report *report) {
	for _, operator := range l.Operators {
		bills, err := l.waitForBills(ctx, operator, report)
		if report.billing.err = err; err != nil {
			continue
		}
		report.checkBills(bills)
		status, err := operator.Status(ctx, &dhpb.StatusRequest{})
		if err != nil {
			return
		}
		for _, v := range status.GetVersions() {
			report.quality = append(report.quality, qualityRow{v.GetModel() + "/" + v.GetVersion(), v.GetQuality(), v.GetAnswers()})
		}
		return
	}
}

// waitForBills reads the run's bills until the ledger is complete or has not
// become so in time.
func (l *load) waitForBills(ctx context.Context, operator dhpbconnect.OperatorServiceClient, report *report) (bills []*dhpb.Bill, err error) {
	for try := 1; ; try++ {
		bills, report.billing.complete, err = l.readBills(ctx, operator)
		if err != nil || report.billing.complete || try == billsTries {
			return bills, err
		}
		if err := dhtimer.Sleep(ctx, l.Timers, billsPause); err != nil {
			return nil, err
		}
	}
}

// readBills returns the bills of the run.
func (l *load) readBills(ctx context.Context, operator dhpbconnect.OperatorServiceClient) (bills []*dhpb.Bill, complete bool, err error) {
	var after uint64
	for {
		response, err := operator.ExportBills(ctx, &dhpb.ExportBillsRequest{After: after, Limit: billsPage})
		if err != nil {
			return nil, false, fmt.Errorf("read bills: %w", dhwire.FromConnect(err))
		}
		for _, b := range response.GetBills() {
			if strings.HasPrefix(b.GetRequestId(), l.Options.Run+"-") {
				bills = append(bills, b)
			}
		}
		if len(response.GetBills()) == 0 || response.GetNext() == after {
			return bills, response.GetComplete(), nil
		}
		after = response.GetNext()
	}
}

// checkBills checks that each answer is billed once, to its account, and that
// nothing is billed that was refused as not run.
func (r *report) checkBills(bills []*dhpb.Bill) {
	r.billing.read = true
	seen := make(map[string]bool)
	keys := make(map[string]bool)
	for _, b := range bills {
		result, known := r.requests[b.GetRequestId()]
		switch {
		case !known:
			r.violate("a bill names request %s, which was not sent", b.GetRequestId())
		case seen[b.GetRequestId()]:
			r.violate("request %s is billed twice", b.GetRequestId())
		case keys[b.GetIdempotencyKey()]:
			r.violate("order %s is billed twice", b.GetIdempotencyKey())
		case result.account != b.GetAccount():
			r.violate("request %s of account %s is billed to %s", b.GetRequestId(), result.account, b.GetAccount())
		case result.notRun:
			r.violate("request %s was refused as not run and is billed", b.GetRequestId())
		}
		seen[b.GetRequestId()] = true
		if b.GetIdempotencyKey() != "" {
			keys[b.GetIdempotencyKey()] = true
		}
		r.billing.bills++
		r.billing.cost += b.GetCost()
		if known {
			r.classes[result.class].cost += b.GetCost()
		}
	}
	if !r.billing.complete {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		if r.requests[id].done && !seen[id] {
			r.violate("request %s was answered and is not billed", id)
		}
	}
}
