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

// defaultQuarantine is how long a cause that an operator adds stays in quarantine.
const defaultQuarantine = time.Hour

func (p *program) quarantineCommand(clause *kingpin.CmdClause) command {
	control := clause.Flag("control", "HOST:PORT of a control VM's first internal port.").Required().String()
	add := clause.Flag("add", "Keep requests with POOL/PART, or the request "+requestPrefix+"FINGERPRINT, from backend servers; ids are hexadecimal.").String()
	lift := clause.Flag("lift", "Lift the quarantine of POOL/PART or "+requestPrefix+"FINGERPRINT. Crashes before this no longer count.").String()
	duration := clause.Flag("for", "How long an added cause stays in quarantine.").Default(defaultQuarantine.String()).Duration()
	return func(ctx context.Context) error {
		request := &dhpb.QuarantineRequest{}
		if *add != "" || *lift != "" {
			if *add != "" && *lift != "" {
				return usageError("--add and --lift exclude each other")
			}
			cause, err := parseCause(*add + *lift)
			if err != nil {
				return err
			}
			request.Order = &dhpb.QuarantineOrder{
				Cause: cause, Lift: *lift != "", Duration: durationpb.New(*duration), Operator: "operator " + p.Getenv("USER"),
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

// requestPrefix is written before the fingerprint of a request.
const requestPrefix = "request:"

// parseCause parses POOL/PART or request:FINGERPRINT.
func parseCause(text string) (*dhpb.QuarantineCause, error) {
	cause, id := &dhpb.QuarantineCause{}, ""
	if fingerprint, ok := strings.CutPrefix(text, requestPrefix); ok {
		cause.Kind, id = dhpb.CauseKind_CAUSE_KIND_REQUEST, fingerprint
	} else if i := strings.LastIndex(text, "/"); i > 0 {
		cause.Pool, id = text[:i], text[i+1:]
	} else {
		return nil, usageError("%q is not POOL/PART or %sFINGERPRINT", text, requestPrefix)
	}
	var err error
	if cause.Id, err = strconv.ParseUint(id, 16, 64); err != nil {
		return nil, usageError("%q is no hexadecimal id", id)
	}
	return cause, nil
}

// verdict is a line of the list of quarantined causes: a part of a pool's prompts or a
// request.
type verdict struct {
	Pool      string    `json:"pool,omitempty"`
	Part      string    `json:"part,omitempty"`
	Request   string    `json:"request,omitempty"`
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
	line := verdict{
		State: state, Left: left.String(), Crashes: v.GetCrashes(), Requests: v.GetRequests(),
		DecidedAt: time.UnixMilli(v.GetDecidedAt()).UTC(), DecidedBy: v.GetDecidedBy(), Backends: v.GetBackends(),
	}
	cause := dhquarantine.CauseOf(v.GetCause())
	if id := dhquarantine.FormatID(cause.ID); cause.Kind == dhquarantine.WholeRequest {
		line.Request = id
	} else {
		line.Pool, line.Part = cause.Pool, id
	}
	return line
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
		pool, id := v.Pool, v.Part
		if v.Request != "" {
			pool, id = "(request)", v.Request
		}
		t.addRow(pool, id, v.State, v.Left, fmt.Sprint(v.Crashes), v.DecidedBy, strings.Join(v.Backends, ","))
	}
	if p.json() {
		return nil
	}
	_, err := p.Out.Write(t.render())
	return err
}
