package dhcapacity

import (
	"cmp"
	_ "embed" // page.md
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/template"
)

//go:embed page.md
var page string

// planned ends the role of a row whose mechanism is not built.
const planned = ", planned"

// Row compares a need with its budget.
type Row struct {
	Role, Need, Budget, Mechanism, Breaks string
	// Size is the figure that says at what size it breaks, with its unit.
	Size string
}

// Render returns docs/CAPACITY.md.
func Render(d *Data) (string, error) {
	m := newModel(d, inputs, assumptions, figures, breaks)
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
		"inputs":      func() string { return keep(m.list(inputs)) },
		"assumptions": func() string { return keep(m.list(assumptions)) },
		"figures":     func(prefix string) string { return keep(m.arithmetic(prefix)) },
		"rows":        func() string { return keep(m.rows()) },
		"misfits":     func() string { return keep(m.misfits()) },
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
	for _, f := range slices.Concat(figures, breaks) {
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

// ratio returns need / budget.
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
	b.WriteString("| role | need | budget | ratio | fits | mechanism | breaks first, at |\n| --- | ---: | ---: | ---: | --- | --- | --- |\n")
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
		switch {
		case ratio > 1:
			fits = "**no**"
		case strings.HasSuffix(r.Role, planned):
			fits = "when built"
		}
		need, budget := m.values[r.Need], m.values[r.Budget]
		fmt.Fprintf(&b, "| %s: `%s` | %s %s | %s | %s | %s | %s | %s%s |\n", r.Role, r.Need, format(need), m.figures[r.Need].Unit,
			format(budget), format(ratio), fits, r.Mechanism, r.Breaks, size)
	}
	return strings.TrimSpace(b.String()), nil
}

// misfits prints the rows whose need exceeds the budget, the worst first.
func (m *model) misfits() (string, error) {
	type misfit struct {
		Row
		ratio float64
	}
	var list []misfit
	for _, r := range rows {
		ratio, err := m.ratio(r)
		if err != nil {
			return "", err
		}
		if ratio > 1 {
			list = append(list, misfit{r, ratio})
		}
	}
	slices.SortStableFunc(list, func(a, b misfit) int { return cmp.Compare(b.ratio, a.ratio) })
	var b strings.Builder
	b.WriteString("| role | need | times its budget | mechanism | breaks first |\n| --- | --- | ---: | --- | --- |\n")
	for _, r := range list {
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s |\n", r.Role, r.Need, format(r.ratio), r.Mechanism, r.Breaks)
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
