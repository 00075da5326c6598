package main

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
)

func (p *program) printJSON(value any) error {
	encoder := json.NewEncoder(p.Out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (p *program) printJSONLine(value any) error { return writeJSONLine(p.Out, value) }

func writeJSONLine(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// jsonValue returns all fields of a message by their names in kebab case.
// Durations are text with a unit and bytes are hexadecimal.
func jsonValue(m protoreflect.ProtoMessage) map[string]any {
	value := make(map[string]any)
	message := m.ProtoReflect()
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		name := strings.ReplaceAll(string(field.Name()), "_", "-")
		if !field.IsList() {
			value[name] = jsonField(field, message.Get(field))
			continue
		}
		list := message.Get(field).List()
		values := make([]any, 0, list.Len())
		for j := range list.Len() {
			values = append(values, jsonField(field, list.Get(j)))
		}
		value[name] = values
	}
	return value
}

func jsonField(field protoreflect.FieldDescriptor, v protoreflect.Value) any {
	switch field.Kind() {
	case protoreflect.MessageKind:
		if d, ok := v.Message().Interface().(*durationpb.Duration); ok {
			return d.AsDuration().String()
		}
		return jsonValue(v.Message().Interface())
	case protoreflect.BytesKind:
		return hex.EncodeToString(v.Bytes())
	case protoreflect.DoubleKind:
		if math.IsNaN(v.Float()) || math.IsInf(v.Float(), 0) {
			return nil
		}
		return v.Float()
	default:
		return v.Interface()
	}
}

func (p *program) printHistory(response *dhpb.HistoryResponse) error {
	if p.json() {
		return p.printJSON(jsonValue(response))
	}
	t := table{width: p.width(), columns: []column{
		{name: "revision", alignRight: true, minWidth: 8},
		{name: "author", minWidth: 20},
		{name: "edit", minWidth: 34},
		{name: "content", minWidth: 12},
	}}
	for _, h := range response.GetRevisions() {
		hash := hex.EncodeToString(h.GetContentHash())
		t.addRow(strconv.FormatUint(h.GetRevision(), 10), h.GetAuthor(), h.GetEditId(), hash[:min(len(hash), 12)])
	}
	_, err := p.Out.Write(t.render())
	return err
}

func (p *program) printExplain(response *dhpb.ExplainResponse) error {
	if p.json() {
		return p.printJSON(jsonValue(response))
	}
	fmt.Fprintf(p.Out, "result:  %s\n", response.GetResultCode())
	if response.GetModel() != "" {
		fmt.Fprintf(p.Out, "version: %s/%s\n", response.GetModel(), response.GetVersion())
	}
	if response.GetBackend() != "" {
		fmt.Fprintf(p.Out, "backend: %s\n", response.GetBackend())
	}
	for _, reason := range response.GetReasons() {
		printWrapped(p.Out, "  - ", reason, p.width())
	}
	return nil
}

func (p *program) printDiff(changes []dhtable.Change) error {
	if !p.json() {
		p.writeDiff(p.Out, changes)
		return nil
	}
	values := make([]any, 0, len(changes))
	for _, c := range changes {
		values = append(values, map[string]any{
			"kind": c.Kind.String(), "entity": c.Entity, "name": c.Name, "field": c.Field, "old": c.Old, "new": c.New,
		})
	}
	return p.printJSON(map[string]any{"changes": values})
}

// writeDiff prints changes by entity: "+" added, "-" removed, "~" changed.
func (p *program) writeDiff(w io.Writer, changes []dhtable.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	signs := map[dhtable.ChangeKind]string{dhtable.Added: "+", dhtable.Removed: "-", dhtable.Changed: "~"}
	entity := ""
	for _, c := range changes {
		if heading := c.Entity + " " + c.Name; heading != entity {
			entity = heading
			fmt.Fprintf(w, "%s %s\n", signs[c.Kind], heading)
		}
		if c.Field == "" {
			continue
		}
		line := c.Field + ": " + shortenHashes(c.Old) + " -> " + shortenHashes(c.New)
		switch c.Kind {
		case dhtable.Added:
			line = c.Field + ": " + shortenHashes(c.New)
		case dhtable.Removed:
			line = c.Field + ": " + shortenHashes(c.Old)
		}
		printWrapped(w, "    ", line, p.width())
	}
}

// shortenHashes shortens key hashes to 12 digits and replaces an empty value
// with "(none)".
func shortenHashes(value string) string {
	if value == "" {
		return "(none)"
	}
	words := strings.Fields(value)
	for i, w := range words {
		if strings.HasPrefix(w, "sha256:") {
			words[i] = w[:min(len(w), len("sha256:")+12)] + "..."
		}
	}
	return strings.Join(words, " ")
}

func (p *program) printStatus(status *dhpb.StatusResponse) error {
	text, err := p.statusText(status)
	if err != nil {
		return err
	}
	_, err = p.Out.Write(text)
	return err
}

// statusText returns a status as one line of JSON or as tables.
func (p *program) statusText(status *dhpb.StatusResponse) ([]byte, error) {
	if p.json() {
		text, err := json.Marshal(jsonValue(status))
		return append(text, '\n'), err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "revision %d\n", status.GetRevision())
	vms := table{width: p.width(), columns: []column{
		{name: "entry-vm", minWidth: 24},
		{name: "zone", minWidth: 14},
		{name: "role", minWidth: 8},
		{name: "state", minWidth: 9},
		{name: "revision", alignRight: true, minWidth: 8},
		{name: "lag", alignRight: true, minWidth: 8},
	}}
	for _, v := range status.GetVms() {
		vms.addRow(v.GetName(), v.GetZone(), v.GetRole(), v.GetState(), strconv.FormatUint(v.GetRevision(), 10), formatDuration(v.GetLag()))
	}
	pools := table{width: p.width(), columns: []column{
		{name: "pool", minWidth: 24},
		{name: "state", minWidth: 10},
		{name: "replicas", alignRight: true, minWidth: 8},
		{name: "in-flight", alignRight: true, minWidth: 9},
		{name: "slots", alignRight: true, minWidth: 7},
	}}
	for _, v := range status.GetPools() {
		pools.addRow(v.GetPool(), v.GetState(), strconv.Itoa(int(v.GetReplicas())), strconv.Itoa(int(v.GetInFlight())), strconv.Itoa(int(v.GetSlots())))
	}
	versions := table{width: p.width(), columns: []column{
		{name: "pool", minWidth: 14},
		{name: "version", minWidth: 16},
		{name: "stage", minWidth: 12},
		{name: "share", alignRight: true, minWidth: 5},
		{name: "answers", alignRight: true, minWidth: 9},
		{name: "errors", alignRight: true, minWidth: 7},
		{name: "quality", alignRight: true, minWidth: 7},
	}}
	for _, v := range status.GetVersions() {
		stage := v.GetStage()
		if v.GetHeld() {
			stage += " HELD"
		}
		versions.addRow(v.GetPool(), v.GetModel()+"/"+v.GetVersion(), stage, strconv.FormatFloat(v.GetShare(), 'g', 4, 64),
			strconv.FormatInt(v.GetAnswers(), 10), strconv.FormatInt(v.GetErrors(), 10), strconv.FormatFloat(v.GetQuality(), 'f', 3, 64))
	}
	histograms := table{width: p.width(), columns: []column{
		{name: "histogram", minWidth: 16},
		{name: "of", minWidth: 22},
		{name: "count", alignRight: true, minWidth: 9},
		{name: "p50-ms", alignRight: true, minWidth: 8},
		{name: "p95-ms", alignRight: true, minWidth: 8},
		{name: "p99-ms", alignRight: true, minWidth: 8},
	}}
	for _, v := range status.GetHistograms() {
		histograms.addRow(v.GetName(), v.GetLabel(), strconv.FormatInt(v.GetCount(), 10), formatMilliseconds(v.GetP50Ms()), formatMilliseconds(v.GetP95Ms()), formatMilliseconds(v.GetP99Ms()))
	}
	for _, t := range []table{vms, pools, versions, histograms} {
		if len(t.rows) > 0 {
			b.WriteByte('\n')
			b.Write(t.render())
		}
	}
	return b.Bytes(), nil
}

func formatMilliseconds(ms float64) string { return strconv.FormatFloat(ms, 'f', 1, 64) }

// formatDuration returns a duration rounded to at most three digits of a unit.
func formatDuration(d *durationpb.Duration) string {
	v := d.AsDuration()
	switch {
	case v >= 10*time.Second:
		return v.Round(time.Second).String()
	case v >= time.Second:
		return v.Round(100 * time.Millisecond).String()
	default:
		return v.Round(time.Millisecond).String()
	}
}

// printWrapped prints text in lines of at most width columns, without splitting
// words. The first line begins with indent, the others with as many spaces.
func printWrapped(w io.Writer, indent, text string, width int) {
	line := indent
	blank := strings.Repeat(" ", len(indent))
	empty := true
	for _, word := range strings.Fields(text) {
		if !empty && utf8.RuneCountInString(line)+1+utf8.RuneCountInString(word) > width {
			fmt.Fprintln(w, line)
			line, empty = blank, true
		}
		if !empty {
			line += " "
		}
		line += replaceUnprintable(word)
		empty = false
	}
	fmt.Fprintln(w, line)
}
