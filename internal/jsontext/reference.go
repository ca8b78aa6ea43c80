package jsontext

import (
	"fmt"
	"strings"
)

// Reference returns a Markdown section that describes an object: a table of its fields,
// followed by a section for each nested object. The path of the object is path, which is
// empty for the root.
func Reference(title, path string, f *Field) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n## %s\n\n| field | type | values | required | meaning |\n|---|---|---|---|---|\n", title)
	for i := range f.Fields {
		b.WriteString(f.Fields[i].tableRow())
	}
	for i := range f.Fields {
		field := &f.Fields[i]
		if inner, suffix := field.nestedObject(); inner != nil {
			nestedPath := joinPath(path, field.Name) + suffix
			b.WriteString(Reference("`"+nestedPath+"`", nestedPath, inner))
		}
	}
	return b.String()
}

// nestedObject returns the object that a field holds, or whose list it holds, and the suffix
// of its path. It returns nil if the field holds neither.
func (f *Field) nestedObject() (object *Field, suffix string) {
	switch {
	case f.Kind == Object:
		return f, ""
	case f.Kind == List && f.Elem.Kind == Object:
		return f.Elem, "[]"
	default:
		return nil, ""
	}
}

// tableRow returns the row of the reference table for the field.
func (f *Field) tableRow() string {
	required := "no"
	if f.Required {
		required = "yes"
	} else if f.Default != "" {
		required = "no, `" + f.Default + "`"
	}
	cells := []string{"`" + f.Name + "`", f.typeName(), f.allowedValues(), required, f.Doc}
	for i, c := range cells {
		cells[i] = strings.ReplaceAll(c, "|", `\|`)
	}
	return "| " + strings.Join(cells, " | ") + " |\n"
}

// kindLabels holds the name of each kind on the reference pages.
var kindLabels = map[Kind]string{
	Object: "object", String: "text", Integer: "whole number",
	Number: "number", Bool: "true or false", Duration: "duration",
}

func (f *Field) typeName() string {
	switch {
	case f.Kind == List:
		return "list of " + f.Elem.typeName()
	case f.Unit != "":
		return kindLabels[f.Kind] + ", " + f.Unit
	default:
		return kindLabels[f.Kind]
	}
}

// allowedValues returns a description of the allowed values, or "" if there is no
// restriction.
func (f *Field) allowedValues() string {
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
		if inner := f.Elem.allowedValues(); inner != "" {
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
		return secondsToDuration(f.Bound.Min).String() + " to " + secondsToDuration(f.Bound.Max).String()
	default:
		return f.Bound.String()
	}
}
