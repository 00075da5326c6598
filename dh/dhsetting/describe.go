package dhsetting

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Describe returns every setting with its default and meaning, as a settings
// file with comments.
func Describe() string {
	var b strings.Builder
	b.WriteString("{\n")
	describeFields(&b, reflect.ValueOf(Default()), "  ")
	b.WriteString("}\n")
	return b.String()
}

func describeFields(b *strings.Builder, v reflect.Value, indent string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		fmt.Fprintf(b, "%s// %s\n", indent, field.Tag.Get("doc"))
		name := field.Tag.Get("json")
		if field.Type.Kind() == reflect.Struct {
			fmt.Fprintf(b, "%s%q: {\n", indent, name)
			describeFields(b, v.Field(i), indent+"  ")
			fmt.Fprintf(b, "%s},\n", indent)
			continue
		}
		fmt.Fprintf(b, "%s%q: %s,\n", indent, name, jsonLiteral(v.Field(i)))
	}
}

func jsonLiteral(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.IsNil() {
		return "[]"
	}
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return "null"
	}
	return string(data)
}
