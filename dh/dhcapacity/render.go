package dhcapacity

import (
	_ "embed" // page.md
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/template"
)

//go:embed page.md
var page string

// Row compares a need with its budget.
type Row struct {
	Role, Need, Budget, Mechanism, Breaks string
	// Unknown is the figure that says at what size it breaks, with its unit.
	Size string
}

// Render returns docs/CAPACITY.md.
func Render(d *Data) (string, error) {
	m := newModel(d, inputs, assumptions, figures)
	var failed error
	keep := func(text string, err error) string {
		if err != nil && failed == nil {
			failed = err
		}
		return text
	}
	t, err := template.New("page").Funcs(template.FuncMap{
		"v": func(name string) string {
			v, err := m.value(name)
			return keep(format(v), err)
		},
		"ratio":       func(name string) string { return keep(m.ratioOf(name)) },
		"inputs":      func() string { return keep(m.list(inputs)) },
		"assumptions": func() string { return keep(m.list(assumptions)) },
		"figures":     func(prefix string) string { return keep(m.arithmetic(prefix)) },
		"rows":        func() string { return keep(m.rows()) },
		"slopes":      d.table,
	}).Parse(page)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	if err := t.Execute(&b, nil); err != nil {
		return "", err
	}
	return b.String(), failed
}

// list prints figures with their values and notes.
func (m *model) list(list []Figure) (string, error) {
	var b strings.Builder
	b.WriteString("| name | value | unit | |\n| --- | ---: | --- | --- |\n")
	for _, f := range list {
		v, err := m.value(f.Name)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Name, format(v), f.Unit, f.Note)
	}
	return strings.TrimSpace(b.String()), nil
}

// arithmetic prints the figures whose names start with a prefix, with their
// expressions and the numbers in them.
func (m *model) arithmetic(prefix string) (string, error) {
	var b strings.Builder
	b.WriteString("| figure | arithmetic | value | unit |\n| --- | --- | ---: | --- |\n")
	for _, f := range figures {
		if !strings.HasPrefix(f.Name, prefix) {
			continue
		}
		v, numbers, err := m.evaluate(f.Expression)
		if err != nil {
			return "", fmt.Errorf("figure %q: %w", f.Name, err)
		}
		name := "`" + f.Name + "`"
		if f.Note != "" {
			name += ": " + f.Note
		}
		text := "`" + strings.ReplaceAll(f.Expression, "*", "×") + "`"
		if numbers != format(v) {
			text += " = " + numbers
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", name, text, format(v), f.Unit)
	}
	return strings.TrimSpace(b.String()), nil
}

// ratioOf returns need / budget of the row with this need.
func (m *model) ratioOf(need string) (string, error) {
	for _, r := range rows {
		if r.Need == need {
			v, err := m.ratio(r)
			return format(v), err
		}
	}
	return "", fmt.Errorf("no row has the need %q", need)
}

func (m *model) ratio(r Row) (float64, error) {
	need, err := m.value(r.Need)
	if err != nil {
		return 0, err
	}
	budget, err := m.value(r.Budget)
	return need / budget, err
}

func (m *model) rows() (string, error) {
	var b strings.Builder
	b.WriteString("| role | need | budget | ratio | fits today | mechanism | breaks first, at |\n| --- | ---: | ---: | ---: | --- | --- | --- |\n")
	for _, r := range rows {
		ratio, err := m.ratio(r)
		if err != nil {
			return "", err
		}
		size := ""
		if r.Size != "" {
			v, err := m.value(r.Size)
			if err != nil {
				return "", err
			}
			size = ", at " + format(v) + " " + m.figures[r.Size].Unit
		}
		fits := "yes"
		if ratio > 1 {
			fits = "**no**"
		}
		need, budget := m.values[r.Need], m.values[r.Budget]
		fmt.Fprintf(&b, "| %s: `%s` | %s %s | %s | %s | %s | %s | %s%s |\n", r.Role, r.Need, format(need), m.figures[r.Need].Unit,
			format(budget), format(ratio), fits, r.Mechanism, r.Breaks, size)
	}
	return strings.TrimSpace(b.String()), nil
}

// table prints all slopes.
func (d *Data) table() string {
	var b strings.Builder
	for i, s := range d.Slopes {
		if i == 0 || s.Command != d.Slopes[i-1].Command {
			fmt.Fprintf(&b, "\n`%s` (seed %s, %s UTC, load average %s)\n\n", s.Command, s.Seed, s.Date, s.Load)
			b.WriteString("| slope | size | values |\n| --- | ---: | --- |\n")
		}
		for _, p := range s.Points {
			var values []string
			for _, key := range slices.Sorted(maps.Keys(p.Values)) {
				values = append(values, fmt.Sprintf("%s=%g", key, p.Values[key]))
			}
			fmt.Fprintf(&b, "| %s | %g | %s |\n", s.Name, p.Size, strings.Join(values, " "))
		}
	}
	return strings.TrimSpace(b.String())
}
