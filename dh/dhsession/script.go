package dhsession

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
)

// Script runs the commands of a session file in a simulation. The file contains
// one command per line:
//
//	include FILE                        runs the commands of a file from the archive or on disk
//	vm NAME ZONE [disk]
//	engine NAME ZONE POOL VERSION,... [service] [slots=N] [cold=LOAD]
//	deployment NAME                     adds the VMs, backend servers, keys and tables of a deployment
//	traffic NAME RATE TIME              sends the workload of this name, starting now
//	start [NAME...]                     starts the VMs, by default all
//	tables FILE                         sets the document of later edits, from the archive or on disk
//	replace OLD -> NEW                  replaces the first occurrence in that document
//	edit ID VM BASE [lost]              sends that document; lost discards the response
//	stream|ask|resume VM ID [account=] [route=] [key=] [session=] [prompt=] [tokens=] [deadline=]
//	warm VM N                           sends N requests to fill the retry budget
//	step TIME
//	partition ZONE,... ... | isolate NAME,... ... | heal | loss SHARE
//	crash|restart|stop|wipe VM
//	leave|silence|unsilence|crash-engine|cold|break ENGINE
//	fault ENGINE VERSION [error=SHARE] [slow=FACTOR] [short=SHARE]
//	tamper ENGINE repeat|reorder|foreign|none
//	bills VM
//	skip TEXT                           omits lines that contain the text from the golden text
type Script struct {
	Simulation *Simulation
	// Folder contains the files that are not in the archive.
	Folder  string
	Archive *txtar.Archive
	// Skip lists the texts whose lines are omitted from the golden text. Commands
	// append to it.
	Skip []string

	text     string
	requests map[string]Request
	// edits maps edit ids to documents, so that an edit that is resent has the
	// same document.
	edits map[string]string
}

// Run runs the commands in the file "script" of the archive.
func (s *Script) Run() error {
	s.requests, s.edits = make(map[string]Request), make(map[string]string)
	return s.include("script")
}

func (s *Script) include(name string) error {
	data, err := s.file(name)
	if err != nil {
		return err
	}
	for i, l := range strings.Split(data, "\n") {
		l, _, _ = strings.Cut(l, "#")
		if fields := strings.Fields(l); len(fields) > 0 {
			if err := s.command(fields[0], fields[1:], l); err != nil {
				return fmt.Errorf("%s:%d: %s: %w", name, i+1, strings.TrimSpace(l), err)
			}
		}
	}
	return nil
}

func (s *Script) file(name string) (string, error) {
	for _, f := range s.Archive.Files {
		if f.Name == name {
			return string(f.Data), nil
		}
	}
	data, err := os.ReadFile(filepath.Join(s.Folder, name))
	return string(data), err
}

// options separates "key=value" arguments from the others.
func options(args []string) (rest []string, values map[string]string) {
	values = make(map[string]string)
	for _, a := range args {
		if k, v, ok := strings.Cut(a, "="); ok {
			values[k] = v
		} else {
			rest = append(rest, a)
		}
	}
	return rest, values
}

func (s *Script) command(name string, args []string, line string) error {
	w := s.Simulation
	args, values := options(args)
	arg := func(i int) string {
		if i < len(args) {
			return args[i]
		}
		return ""
	}
	switch name {
	case "include":
		return s.include(arg(0))
	case "vm":
		w.AddVM(arg(0), arg(1), arg(2) == "disk")
	case "engine":
		return s.engine(args, values)
	case "deployment":
		text, err := w.Deploy(filepath.Join(s.Folder, "../../../deploy"), arg(0), nil)
		s.text = text
		return err
	case "traffic":
		rate, _ := strconv.ParseFloat(arg(1), 64)
		d, err := time.ParseDuration(arg(2))
		if err != nil {
			return err
		}
		return w.Traffic(arg(0), rate, d, 40)
	case "start":
		if len(args) == 0 {
			args = w.vmNames
		}
		for _, vm := range args {
			w.Start(vm)
		}
	case "restart":
		w.Start(arg(0))
	case "step":
		d, err := time.ParseDuration(arg(0))
		w.Step(d)
		return err
	case "tables":
		text, err := s.file(arg(0))
		s.text = text
		return err
	case "replace":
		_, change, _ := strings.Cut(line, "replace ")
		from, to, _ := strings.Cut(change, " -> ")
		if !strings.Contains(s.text, from) {
			return fmt.Errorf("text %q does not occur in the tables", from)
		}
		s.text = strings.Replace(s.text, from, strings.TrimSpace(to), 1)
	case "edit":
		base, err := strconv.ParseUint(arg(2), 10, 64)
		if _, sent := s.edits[arg(0)]; !sent {
			s.edits[arg(0)] = s.text
		}
		w.Edit(arg(1), arg(0), base, s.edits[arg(0)], arg(3) == "lost")
		return err
	case "stream", "ask", "resume":
		return s.ask(name, arg(0), arg(1), values)
	case "warm":
		return s.warm(arg(0), arg(1))
	case "skip":
		_, text, _ := strings.Cut(line, "skip ")
		s.Skip = append(s.Skip, strings.TrimSpace(text))
	case "bills":
		w.ExportBills(arg(0))
	default:
		return s.fault(name, args, values)
	}
	return nil
}

func (s *Script) engine(args []string, values map[string]string) error {
	m := &dhengine.Model{ID: args[0], Zone: args[1], Pool: args[2]}
	for _, v := range strings.Split(args[3], ",") {
		version, ok := dhtable.ParseVersion(v)
		if !ok {
			return fmt.Errorf("invalid version %q", v)
		}
		m.Versions = append(m.Versions, version)
	}
	if len(args) > 4 && args[4] == "service" {
		m.Kind = dhtable.Service
	}
	m.Slots, _ = strconv.Atoi(values["slots"])
	if cold, ok := values["cold"]; ok {
		m.ColdStart = dhengine.DefaultCold()
		m.ColdStart.SustainableLoad, _ = strconv.Atoi(cold)
		m.StartCold = true
	}
	s.Simulation.AddEngine(m)
	return nil
}

func (s *Script) ask(kind, vm, id string, values map[string]string) error {
	q, known := s.requests[id]
	if !known {
		q = Request{ID: id, Prompt: "prompt of " + id, MaxTokens: 8}
	}
	for k, v := range values {
		switch k {
		case "account":
			q.Account = v
		case "route":
			q.Route = v
		case "key":
			q.Key = v
		case "session":
			q.Session = v
		case "prompt":
			q.Prompt = v
		case "tokens":
			q.MaxTokens, _ = strconv.Atoi(v)
		case "deadline":
			q.Deadline, _ = time.ParseDuration(v)
		default:
			return fmt.Errorf("unknown option %q", k)
		}
	}
	q.Unary = kind == "ask"
	s.requests[id] = q
	s.Simulation.Ask(vm, q, kind == "resume", nil)
	return nil
}

// warm sends a number of requests, so that the retry budget of a VM permits retries.
func (s *Script) warm(vm, number string) error {
	n, err := strconv.Atoi(number)
	for i := range n {
		s.Simulation.Ask(vm, Request{
			ID: fmt.Sprintf("warm-%s-%d", vm, i), Account: "crew", Route: "cut-lists", Prompt: fmt.Sprint("warm ", i),
			MaxTokens: 1, Unary: true,
		}, false, nil)
		s.Simulation.Step(50 * time.Millisecond)
	}
	return err
}

func (s *Script) fault(name string, args []string, values map[string]string) error {
	w := s.Simulation
	groups := make([][]string, len(args))
	for i, a := range args {
		groups[i] = strings.Split(a, ",")
	}
	switch name {
	case "partition":
		w.Partition(groups...)
	case "isolate":
		w.Isolate(groups...)
	case "heal":
		w.Isolate()
	case "loss":
		loss, err := strconv.ParseFloat(args[0], 64)
		w.SetLoss(loss)
		return err
	case "crash":
		w.Crash(args[0])
	case "stop":
		w.Stop(args[0])
	case "wipe":
		w.Wipe(args[0])
	case "leave":
		w.Leave(args[0])
	case "silence":
		w.Silence(args[0])
	case "unsilence":
		w.Unsilence(args[0])
	case "crash-engine":
		w.CrashEngine(args[0])
	case "cold":
		w.Engine(args[0]).GoCold()
	case "break":
		w.BreakStreams(args[0])
	case "fault":
		v, _ := dhtable.ParseVersion(args[1])
		var f dhengine.Faults
		f.ErrorRate, _ = strconv.ParseFloat(values["error"], 64)
		f.Slowness, _ = strconv.ParseFloat(values["slow"], 64)
		f.ShortRate, _ = strconv.ParseFloat(values["short"], 64)
		w.Engine(args[0]).SetFaults(v, f)
	case "tamper":
		return w.tamper(args[0], args[1])
	default:
		return fmt.Errorf("unknown command %q", name)
	}
	w.History.addLine("fault %s %s", name, strings.Join(args, " "))
	return nil
}

// tamper makes a backend server send incorrect chunks.
func (w *Simulation) tamper(id, mode string) error {
	b := w.engines[id]
	var heldBack *dhpb.Chunk
	switch mode {
	case "none":
		b.Tamper = nil
	case "repeat":
		b.Tamper = func(c *dhpb.Chunk) []*dhpb.Chunk { return []*dhpb.Chunk{c, c} }
	case "reorder":
		b.Tamper = func(c *dhpb.Chunk) []*dhpb.Chunk {
			if heldBack == nil && !c.GetLast() {
				heldBack = c
				return nil
			}
			list := []*dhpb.Chunk{c}
			if heldBack != nil {
				list = append(list, heldBack)
			}
			heldBack = nil
			return list
		}
	case "foreign":
		b.Tamper = func(c *dhpb.Chunk) []*dhpb.Chunk {
			return []*dhpb.Chunk{
				{RequestId: "another", Attempt: c.GetAttempt(), Offset: c.GetOffset(), Text: "foreign "},
				{RequestId: c.GetRequestId(), Attempt: c.GetAttempt() + 1, Offset: c.GetOffset(), Text: "late "},
				c,
			}
		}
	default:
		return fmt.Errorf("unknown tamper mode %q", mode)
	}
	return nil
}
