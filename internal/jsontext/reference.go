package jsontext

import (
	"fmt"
	"strings"
)

// Reference returns a Markdown section for an object: a table of its fields, then a
// section for each object inside it.
func Reference(title, path string, f *Field) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n## %s\n\n| field | type | values | required | meaning |\n|---|---|---|---|---|\n", title)
	for i := range f.Fields {
		b.WriteString(f.Fields[i].row())
	}
	for i := range f.Fields {
		m := &f.Fields[i]
		if inner, suffix := m.inner(); inner != nil {
			at := join(path, m.Name) + suffix
			b.WriteString(Reference("`"+at+"`", at, inner))
		}
	}
	return b.String()
}

// inner returns the object inside a field, if there is one.
func (f *Field) inner() (object *Field, suffix string) {
	switch {
	case f.Kind == Object:
		return f, ""
	case f.Kind == List && f.Elem.Kind == Object:
		return f.Elem, "[]"
	default:
		return nil, ""
	}
}

func (f *Field) row() string {
	need := "no"
	if f.Required {
		need = "yes"
	} else if f.Default != "" {
		need = "no, `" + f.Default + "`"
	}
	cells := []string{"`" + f.Name + "`", f.typeName(), f.values(), need, f.Doc}
	for i, c := range cells {
		cells[i] = strings.ReplaceAll(c, "|", `\|`)
	}
	return "| " + strings.Join(cells, " | ") + " |\n"
}

var shortNames = map[Kind]string{
	Object: "object", String: "text", Integer: "whole number",
	Number: "number", Bool: "true or false", Duration: "duration",
}

func (f *Field) typeName() string {
	switch {
	case f.Kind == List:
		return "list of " + f.Elem.typeName()
	case f.Unit != "":
		return shortNames[f.Kind] + ", " + f.Unit
	default:
		return shortNames[f.Kind]
	}
}

// values returns the allowed values in words.
func (f *Field) values() string {
	var parts []string
	if len(f.Enum) > 0 {
		parts = append(parts, "`"+strings.Join(f.Enum, "`, `")+"`")
	}
	if f.Format != nil {
		parts = append(parts, f.Format.Name)
	}
	if f.Bound.isSet() {
		parts = append(parts, f.boundText())
	}
	if f.Elem != nil && f.Elem.Kind != Object {
		if inner := f.Elem.values(); inner != "" {
			parts = append(parts, inner)
		}
	}
	return strings.Join(parts, "; ")
}

func (f *Field) boundText() string {
	switch f.Kind {
	case List:
		return f.Bound.String() + " entries"
	case Duration:
		return seconds(f.Bound.Min).String() + " to " + seconds(f.Bound.Max).String()
	default:
		return f.Bound.String()
	}
}
