package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"dandelionhoist.example/dh/dhpb"
)

// billsPage is the number of bills asked for at once.
const billsPage = 500

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

// printBills prints page by page, so that an export needs little memory.
func (p *program) printBills(ctx context.Context, c *client, q billsQuery) error {
	after, limit := q.after, q.limit
	printed, complete := 0, false
	for {
		page := billsPage
		if limit > 0 {
			page = min(page, limit-printed)
		}
		var response *dhpb.ExportBillsResponse
		err := c.read(ctx, func(ctx context.Context, s server) error {
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
		end := response.GetNext() == after || len(response.GetBills()) == 0
		after = response.GetNext()
		if end || printed == limit && limit > 0 {
			return p.printBillsEnd(printed, after, complete)
		}
	}
}

// forgetBills removes bills that have been printed.
func forgetBills(ctx context.Context, c *client, bills []*dhpb.Bill) error {
	return c.read(ctx, func(ctx context.Context, s server) error {
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
	t := table{width: p.width(), hideHeader: !first, fixed: true, columns: []column{
		{name: "request", width: 20},
		{name: "account", width: 13},
		{name: "route", width: 16},
		{name: "version", width: 12},
		{name: "tokens", width: 6, right: true},
		{name: "cost", width: 8, right: true},
	}}
	for _, b := range bills {
		t.add(b.GetRequestId(), b.GetAccount(), b.GetRoute(), b.GetModel()+"/"+b.GetVersion(),
			strconv.Itoa(int(b.GetTokens())), strconv.FormatFloat(b.GetCost(), 'f', 4, 64))
	}
	_, err := p.Out.Write(t.text())
	return err
}

func (p *program) printBillsEnd(printed int, next uint64, complete bool) error {
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
