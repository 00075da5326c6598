package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"dandelionhoist.example/dh/dhpb"
)

// billsPageSize is the number of bills requested per call.
const billsPageSize = 500

func (p *program) billsCommand(clause *kingpin.CmdClause) command {
	after := clause.Flag("after", "Sequence number of the last bill already read.").Uint64()
	limit := clause.Flag("limit", "Largest number of bills; 0 is no limit.").Short('n').Int()
	forget := clause.Flag("forget", "Remove the printed bills from the voters, which keep a bounded number; needs --output json.").Bool()
	return func(ctx context.Context) error {
		c, err := p.connect()
		if err != nil {
			return err
		}
		if *forget && !p.json() {
			return exitUsage(errors.New("--forget needs --output json, which prints every field of a bill"))
		}
		return p.printBills(ctx, c, billsQuery{after: *after, limit: *limit, forget: *forget})
	}
}

type billsQuery struct {
	after  uint64
	limit  int
	forget bool
}

// printBills fetches and prints one page at a time, which bounds the memory of
// an export.
func (p *program) printBills(ctx context.Context, c *client, q billsQuery) error {
	after, limit := q.after, q.limit
	printed, complete := 0, false
	for {
		page := billsPageSize
		if limit > 0 {
			page = min(page, limit-printed)
		}
		var response *dhpb.ExportBillsResponse
		err := c.tryServers(ctx, func(ctx context.Context, s server) error {
			var err error
			response, err = s.service.ExportBills(ctx, &dhpb.ExportBillsRequest{After: after, Limit: int32(page)})
			return err
		})
		if err != nil {
			return err
		}
		if err := p.printBillPage(response.GetBills(), printed == 0); err != nil {
			return err
		}
		if q.forget && len(response.GetBills()) > 0 {
			if err := forgetBills(ctx, c, response.GetBills()); err != nil {
				return err
			}
		}
		printed += len(response.GetBills())
		complete = response.GetComplete()
		done := response.GetNext() == after || len(response.GetBills()) == 0
		after = response.GetNext()
		if done || printed == limit && limit > 0 {
			return p.printBillsSummary(printed, after, complete)
		}
	}
}

// forgetBills removes printed bills from the voters.
func forgetBills(ctx context.Context, c *client, bills []*dhpb.Bill) error {
	return c.tryServers(ctx, func(ctx context.Context, s server) error {
		_, err := s.service.ForgetBills(ctx, &dhpb.ForgetBillsRequest{Bills: bills})
		return err
	})
}

func (p *program) printBillPage(bills []*dhpb.Bill, first bool) error {
	if p.json() {
		for _, b := range bills {
			if err := p.printJSONLine(jsonValue(b)); err != nil {
				return err
			}
		}
		return nil
	}
	t := table{width: p.width(), hideHeader: !first, fixedWidths: true, columns: []column{
		{name: "request", minWidth: 20},
		{name: "account", minWidth: 13},
		{name: "route", minWidth: 16},
		{name: "version", minWidth: 12},
		{name: "tokens", minWidth: 6, alignRight: true},
		{name: "cost", minWidth: 8, alignRight: true},
	}}
	for _, b := range bills {
		t.addRow(b.GetRequestId(), b.GetAccount(), b.GetRoute(), b.GetModel()+"/"+b.GetVersion(),
			strconv.Itoa(int(b.GetTokens())), strconv.FormatFloat(b.GetCost(), 'f', 4, 64))
	}
	_, err := p.Out.Write(t.render())
	return err
}

func (p *program) printBillsSummary(printed int, next uint64, complete bool) error {
	if p.json() {
		return p.printJSONLine(map[string]any{"next": next, "complete": complete})
	}
	state := "complete"
	if !complete {
		state = "not complete: entry VMs may hold bills not yet handed over"
	}
	_, err := fmt.Fprintf(p.Out, "%d bills, next --after=%d, %s\n", printed, next, state)
	return err
}
