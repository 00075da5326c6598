// Package dhjson decodes JSON with comments and reports errors with row and
// column. Unknown keys and duplicate keys are errors. Settings and the
// operators' tables both use it.
//
// # Usage
//
//	doc, err := dhjson.Parse("tables.json", data)
//	err = doc.Decode(&v)                                  // unknown keys are errors
//	err = doc.Errorf("/pools/zones", "no zone is given")  // with the position of a value
package dhjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Document is a parsed JSON document that keeps its source text for the
// positions in errors. It is immutable.
type Document struct {
	name         string
	data         []byte
	root         hujson.Value
	standardJSON []byte
}

// Parse parses data as JSON with comments and trailing commas. The name is
// used in error messages.
func Parse(name string, data []byte) (Document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return Document{}, fmt.Errorf("%s: %w", name, err)
	}
	standard := root.Clone()
	standard.Standardize()
	return Document{name: name, data: data, root: root, standardJSON: standard.Pack()}, nil
}

// Decode stores the document in the struct that v points to. Unknown keys,
// duplicate keys and values of a wrong type are errors with row and column.
func (d Document) Decode(v any) error {
	if err := d.checkKeys(&d.root, reflect.TypeOf(v).Elem()); err != nil {
		return err
	}
	err := json.NewDecoder(bytes.NewReader(d.standardJSON)).Decode(v)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return d.errorAt(int(typeErr.Offset), "%s: expected %s, found %s", typeErr.Field, typeDescription(typeErr.Type), typeErr.Value)
	}
	return err
}

// Errorf returns an error with the position of the value at the given JSON
// pointer, or of the nearest enclosing value that exists.
func (d Document) Errorf(pointer, format string, args ...any) error {
	for p := pointer; p != ""; p = p[:strings.LastIndexByte(p, '/')] {
		if v := d.root.Find(p); v != nil {
			return d.errorAt(v.StartOffset, "%s: %s", pointer, fmt.Sprintf(format, args...))
		}
	}
	return d.errorAt(0, "%s: %s", pointer, fmt.Sprintf(format, args...))
}

// Pointer returns the JSON pointer made of the given names, which it escapes.
func Pointer(names ...string) string {
	var b strings.Builder
	for _, n := range names {
		b.WriteByte('/')
		b.WriteString(strings.NewReplacer("~", "~0", "/", "~1").Replace(n))
	}
	return b.String()
}

func (d Document) errorAt(offset int, format string, args ...any) error {
	before := d.data[:min(max(offset, 0), len(d.data))]
	row := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("%s:%d:%d: %s", d.name, row, column, fmt.Sprintf(format, args...))
}

// checkKeys returns an error for a key that t does not define or that occurs
// twice, and for a value that the json.Unmarshaler of its type rejects.
func (d Document) checkKeys(v *hujson.Value, t reflect.Type) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if _, ok := reflect.New(t).Interface().(json.Unmarshaler); ok {
		return d.checkValue(v, t)
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		return d.checkObject(x, t)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i := range x.Elements {
			if err := d.checkKeys(&x.Elements[i], t.Elem()); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d Document) checkValue(v *hujson.Value, t reflect.Type) error {
	standard := v.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), reflect.New(t).Interface()); err != nil {
		return d.errorAt(v.StartOffset, "%v", err)
	}
	return nil
}

func (d Document) checkObject(o *hujson.Object, t reflect.Type) error {
	seen := make(map[string]bool)
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		if seen[name] {
			return d.errorAt(m.Name.StartOffset, "key %q is given twice", name)
		}
		seen[name] = true
		member, ok := memberType(t, name)
		if !ok {
			return d.errorAt(m.Name.StartOffset, "unknown key %q; expected one of %s", name, strings.Join(jsonKeys(t), ", "))
		}
		if err := d.checkKeys(&m.Value, member); err != nil {
			return err
		}
	}
	return nil
}

func memberType(t reflect.Type, name string) (reflect.Type, bool) {
	switch t.Kind() {
	case reflect.Map:
		return t.Elem(), true
	case reflect.Struct:
		for i := range t.NumField() {
			if jsonKey(t.Field(i)) == name {
				return t.Field(i).Type, true
			}
		}
		return nil, false
	default:
		return t, true
	}
}

func jsonKeys(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, jsonKey(t.Field(i)))
	}
	return names
}

func jsonKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func typeDescription(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a number (" + t.Kind().String() + ")"
	}
}

// Duration is a time.Duration written as a string with a unit, such as "20s".
type Duration time.Duration

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("expected a duration with a unit such as \"20s\", found %s", data)
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("expected a duration with a unit such as \"20s\", found %q", s)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}
