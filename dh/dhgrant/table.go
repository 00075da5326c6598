package dhgrant

import (
	"cmp"
	"fmt"
	"slices"

	"dandelionhoist.example/dh/dhpb"
)

// CompareTables orders grant tables from old to new. A table of a later grantor is
// newer than all of an earlier one.
func CompareTables(a, b *dhpb.GrantTableId) int {
	return cmp.Or(cmp.Compare(a.GetToken(), b.GetToken()), cmp.Compare(a.GetNumber(), b.GetNumber()))
}

// GrantsOf returns the grants of a table for one entry VM.
func GrantsOf(t *dhpb.GrantTable, vm string) []*dhpb.RateGrant {
	list := make([]*dhpb.RateGrant, 0, len(t.GetGrants()))
	for _, g := range t.GetGrants() {
		own := &dhpb.RateGrant{Limit: g.GetLimit(), Parts: g.GetParts()}
		if slices.Contains(g.GetHolders(), vm) {
			own.Holders = []string{vm}
		}
		list = append(list, own)
	}
	return list
}

// maxListed bounds the number of backend servers in a log line.
const maxListed = 8

// Holders returns the holders of the parts by backend server, for log lines.
func Holders(t *dhpb.GrantTable) []string {
	var list []string
	for _, g := range t.GetGrants() {
		if len(list) == maxListed {
			return append(list, fmt.Sprintf("and %d more", len(t.GetGrants())-maxListed))
		}
		list = append(list, fmt.Sprintf("%s:%d:%v", g.GetLimit().GetId(), g.GetParts(), g.GetHolders()))
	}
	return list
}
