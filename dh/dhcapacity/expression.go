package dhcapacity

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"strconv"
	"strings"
)

// model evaluates expressions over figures and slopes.
type model struct {
	data    *Data
	figures map[string]Figure
	values  map[string]float64
	active  map[string]bool
}

// Figure is a named quantity: a number or an expression.
type Figure struct {
	Name, Expression, Unit, Note string
}

func newModel(d *Data, lists ...[]Figure) *model {
	m := &model{data: d, figures: make(map[string]Figure), values: make(map[string]float64), active: make(map[string]bool)}
	for _, list := range lists {
		for _, f := range list {
			m.figures[f.Name] = f
		}
	}
	return m
}

// value returns a figure's value.
func (m *model) value(name string) (float64, error) {
	if v, ok := m.values[name]; ok {
		return v, nil
	}
	f, ok := m.figures[name]
	if !ok || m.active[name] {
		return 0, fmt.Errorf("figure %q is not defined, or by itself", name)
	}
	m.active[name] = true
	defer delete(m.active, name)
	v, _, err := m.evaluate(f.Expression)
	if err != nil {
		return 0, fmt.Errorf("figure %q: %w", name, err)
	}
	m.values[name] = v
	return v, nil
}

// evaluate returns the value of an expression and the expression with numbers
// in place of names. Expressions are Go's, over names of figures and
// at(slope, value, size), per(slope, value), start(slope, value), max and min.
func (m *model) evaluate(text string) (float64, string, error) {
	e, err := parser.ParseExpr(text)
	if err != nil {
		return 0, "", err
	}
	return m.node(e)
}

func (m *model) node(e ast.Expr) (float64, string, error) {
	switch e := e.(type) {
	case *ast.BasicLit:
		v, err := strconv.ParseFloat(strings.ReplaceAll(e.Value, "_", ""), 64)
		return v, format(v), err
	case *ast.Ident:
		v, err := m.value(e.Name)
		return v, format(v), err
	case *ast.ParenExpr:
		v, text, err := m.node(e.X)
		return v, "(" + text + ")", err
	case *ast.BinaryExpr:
		return m.binary(e)
	case *ast.CallExpr:
		v, err := m.call(e)
		return v, format(v), err
	}
	return 0, "", fmt.Errorf("expression has a %T", e)
}

func (m *model) binary(e *ast.BinaryExpr) (float64, string, error) {
	x, left, err := m.node(e.X)
	if err != nil {
		return 0, "", err
	}
	y, right, err := m.node(e.Y)
	if err != nil {
		return 0, "", err
	}
	switch e.Op {
	case token.ADD:
		return x + y, left + " + " + right, nil
	case token.SUB:
		return x - y, left + " - " + right, nil
	case token.MUL:
		return x * y, left + " × " + right, nil
	case token.QUO:
		return x / y, left + " / " + right, nil
	}
	return 0, "", fmt.Errorf("operator %s is not known", e.Op)
}

func (m *model) call(e *ast.CallExpr) (float64, error) {
	name := e.Fun.(*ast.Ident).Name
	if name == "max" || name == "min" {
		x, _, err := m.node(e.Args[0])
		if err != nil {
			return 0, err
		}
		y, _, err := m.node(e.Args[1])
		if name == "max" {
			return math.Max(x, y), err
		}
		return math.Min(x, y), err
	}
	slope, key := e.Args[0].(*ast.BasicLit).Value, e.Args[1].(*ast.BasicLit).Value
	slope, key = strings.Trim(slope, `"`), strings.Trim(key, `"`)
	if name == "at" {
		size, _, err := m.node(e.Args[2])
		if err != nil {
			return 0, err
		}
		return m.data.At(slope, key, size)
	}
	start, perUnit, err := m.data.Fit(slope, key)
	switch name {
	case "per":
		return perUnit, err
	case "start":
		return start, err
	}
	return 0, fmt.Errorf("function %q is not known", name)
}

// format prints three significant digits, and whole numbers from 100 on.
func format(v float64) string {
	if a := math.Abs(v); a >= 100 || v == math.Trunc(v) {
		s := strconv.FormatFloat(math.Round(v), 'f', 0, 64)
		for i := len(s) - 3; i > 0 && s[i-1] != '-'; i -= 3 {
			s = s[:i] + "," + s[i:]
		}
		return s
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	return strconv.FormatFloat(v, 'f', max(digits, 0), 64)
}
