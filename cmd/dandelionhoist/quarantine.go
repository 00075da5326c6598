package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquarantine"
	"dandelionhoist.example/dh/dhwire"
)

// defaultQuarantine is how long a part that an operator adds stays in quarantine.
const defaultQuarantine = time.Hour

func (p *program) quarantineCommand(clause *kingpin.CmdClause) command {
	control := clause.Flag("control", "HOST:PORT of a control VM's first internal port.").Required().String()
	add := clause.Flag("add", "Keep requests with POOL/PART from backend servers; PART is the part's hexadecimal id.").String()
	lift := clause.Flag("lift", "Lift the quarantine of POOL/PART. Crashes before this no longer count.").String()
	duration := clause.Flag("for", "How long an added part stays in quarantine.").Default(defaultQuarantine.String()).Duration()
	return func(ctx context.Context) error {
		request := &dhpb.QuarantineRequest{}
		if *add != "" || *lift != "" {
			if *add != "" && *lift != "" {
				return usageError("--add and --lift exclude each other")
			}
			part, err := parsePart(*add + *lift)
			if err != nil {
				return err
			}
			request.Order = &dhpb.QuarantineOrder{
				Part: part, Lift: *lift != "", Duration: durationpb.New(*duration), Operator: "operator " + p.Getenv("USER"),
			}
		}
		service := dhpb.NewControlServiceProtobufClient("http://"+*control, http.DefaultClient)
		response, err := service.Quarantine(ctx, request)
		if err != nil {
			if err = dhwire.FromTwirp(err); dhcode.Of(err) == dhcode.Internal {
				err = dhcode.Wrap(dhcode.NoBackend, err) // not answered by a control VM
			}
			return err
		}
		return p.printVerdicts(response.GetVerdicts())
	}
}

// parsePart parses POOL/PART.
func parsePart(text string) (*dhpb.PromptPart, error) {
	i := strings.LastIndex(text, "/")
	if i <= 0 {
		return nil, usageError("%q is not POOL/PART", text)
	}
	id, err := strconv.ParseUint(text[i+1:], 16, 64)
	if err != nil {
		return nil, usageError("part %q is no hexadecimal id", text[i+1:])
	}
	return &dhpb.PromptPart{Pool: text[:i], Id: id}, nil
}

// verdict is a line of the list of quarantined parts.
type verdict struct {
	Pool      string    `json:"pool"`
	Part      string    `json:"part"`
	State     string    `json:"state"`
	Left      string    `json:"left"`
	Crashes   uint32    `json:"crashes"`
	Requests  uint32    `json:"requests"`
	DecidedAt time.Time `json:"decided-at"`
	DecidedBy string    `json:"decided-by"`
	Backends  []string  `json:"backends"`
}

func verdictOf(v *dhpb.QuarantineVerdict) verdict {
	state, left := "in force", v.GetRemaining().AsDuration().Round(time.Second)
	switch {
	case v.GetLifted():
		state, left = "lifted", 0
	case left <= 0:
		state, left = "ended", 0
	}
	return verdict{
		v.GetPart().GetPool(), dhquarantine.FormatID(v.GetPart().GetId()), state, left.String(), v.GetCrashes(), v.GetRequests(),
		time.UnixMilli(v.GetDecidedAt()).UTC(), v.GetDecidedBy(), v.GetBackends(),
	}
}

func (p *program) printVerdicts(list []*dhpb.QuarantineVerdict) error {
	t := &table{width: p.width(), columns: []column{
		{name: "pool", minWidth: 8},
		{name: "part", minWidth: 16},
		{name: "state", minWidth: 8},
		{name: "left", minWidth: 8, alignRight: true},
		{name: "crashes", minWidth: 7, alignRight: true},
		{name: "by", minWidth: 8},
		{name: "backends", minWidth: 8},
	}}
	for _, m := range list {
		v := verdictOf(m)
		if p.json() {
			if err := p.printJSONLine(v); err != nil {
				return err
			}
			continue
		}
		t.addRow(v.Pool, v.Part, v.State, v.Left, fmt.Sprint(v.Crashes), v.DecidedBy, strings.Join(v.Backends, ","))
	}
	if p.json() {
		return nil
	}
	_, err := p.Out.Write(t.render())
	return err
}
