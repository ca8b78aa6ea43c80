package jsontext

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// validateValue checks the value at path against f. It returns the valid part of the value in
// a form that json.Marshal encodes, and reports whether there is one.
func (d *Document) validateValue(path string, f *Field, v *hujson.Value) (any, bool) {
	offset := d.originalOffset(v.StartOffset)
	d.offsets[path] = offset
	if d.nullOffsets[offset] {
		d.markFinding(path)
		return nil, false
	}
	switch f.Kind {
	case Object:
		return d.validateObject(path, f, v)
	case List:
		return d.validateList(path, f, v)
	default:
		return d.validateLiteral(path, f, v)
	}
}

func (d *Document) validateObject(path string, f *Field, v *hujson.Value) (any, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addTypeFinding(path, f, v)
		return nil, false
	}
	valid := map[string]any{}
	seen := map[string]bool{}
	for i := range object.Members {
		d.validateMember(path, f, &object.Members[i], seen, valid)
	}
	for i := range f.Fields {
		if field := &f.Fields[i]; field.Required && !seen[field.Name] {
			d.AddFinding(path, "the field %q is missing", field.Name)
			d.findingPaths[joinPath(path, field.Name)] = true
		}
	}
	return valid, true
}

// validateMember checks a member of an object and stores its value in valid. Seen holds the
// names of the members before it.
func (d *Document) validateMember(path string, f *Field, member *hujson.ObjectMember, seen map[string]bool, valid map[string]any) {
	name := member.Name.Value.(hujson.Literal).String()
	nameOffset := d.originalOffset(member.Name.StartOffset)
	field := f.fieldByName(name)
	switch {
	case field == nil:
		d.markFinding(path)
		d.addFindingAt(nameOffset, "unknown field %q; the fields here are %s", name, f.fieldNames())
		return
	case seen[name]:
		d.markFinding(joinPath(path, name))
		d.addFindingAt(nameOffset, "the field %q occurs twice", name)
		return
	}
	seen[name] = true
	if value, ok := d.validateValue(joinPath(path, name), field, &member.Value); ok {
		valid[name] = value
	}
}

func (f *Field) fieldNames() string {
	names := make([]string, len(f.Fields))
	for i := range f.Fields {
		names[i] = f.Fields[i].Name
	}
	return strings.Join(names, ", ")
}

// validateList checks a list. Invalid elements are nil in the result.
func (d *Document) validateList(path string, f *Field, v *hujson.Value) (any, bool) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addTypeFinding(path, f, v)
		return nil, false
	}
	if n := len(array.Elements); !f.Bound.contains(float64(n)) {
		d.AddFinding(path, "the list has %d entries; it must have %s", n, f.Bound)
	}
	valid := []any{}
	for i := range array.Elements {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		value, ok := d.validateValue(elementPath, f.Elem, &array.Elements[i])
		if !ok {
			value = nil // keeps the indices of the elements after it
		}
		valid = append(valid, value)
	}
	return valid, true
}

func (d *Document) validateLiteral(path string, f *Field, v *hujson.Value) (any, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.addTypeFinding(path, f, v)
		return nil, false
	}
	switch f.Kind {
	case String, Duration:
		return d.validateString(path, f, v, literal)
	case Integer, Number:
		return d.validateNumber(path, f, v, literal)
	default:
		if kind := literal.Kind(); kind != 't' && kind != 'f' {
			d.addTypeFinding(path, f, v)
			return nil, false
		}
		return literal.Bool(), true
	}
}

func (d *Document) validateString(path string, f *Field, v *hujson.Value, literal hujson.Literal) (any, bool) {
	if literal.Kind() != '"' {
		d.addTypeFinding(path, f, v)
		return nil, false
	}
	text := literal.String()
	if f.Kind == Duration {
		return text, d.validateDuration(path, f, text)
	}
	switch {
	case len(f.Enum) > 0 && !containsString(f.Enum, text):
		d.AddFinding(path, "%q is not allowed here; the allowed values are %s", text, strings.Join(f.Enum, ", "))
	case !f.Bound.contains(float64(len(text))):
		d.AddFinding(path, "the text has %d bytes; it must have %s", len(text), f.Bound)
	case f.Format != nil && !f.Format.Valid(text):
		// The string is kept, so that references to an invalid name still match it.
		d.AddFinding(path, "%q must be %s", text, f.Format.Name)
		return text, true
	default:
		return text, true
	}
	return nil, false
}

func (d *Document) validateDuration(path string, f *Field, text string) bool {
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.AddFinding(path, "%q must be %s", text, kindPhrases[Duration])
		return false
	}
	if f.Bound.contains(duration.Seconds()) {
		return true
	}
	d.AddFinding(path, "%s is out of range; the allowed range is %s to %s", text, secondsToDuration(f.Bound.Min), secondsToDuration(f.Bound.Max))
	return false
}

func (d *Document) validateNumber(path string, f *Field, v *hujson.Value, literal hujson.Literal) (any, bool) {
	if literal.Kind() != '0' {
		d.addTypeFinding(path, f, v)
		return nil, false
	}
	x, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || (f.Kind == Integer && (x != math.Trunc(x) || math.Abs(x) > math.MaxInt32)) {
		d.addTypeFinding(path, f, v)
		return nil, false
	}
	if !f.Bound.contains(x) {
		d.AddFinding(path, "%s is out of range; the allowed range is %s", literal, f.Bound)
		return nil, false
	}
	if f.Kind == Integer {
		return int64(x), true
	}
	return x, true
}

// addTypeFinding adds a finding for a value of the wrong type or unit.
func (d *Document) addTypeFinding(path string, f *Field, v *hujson.Value) {
	d.AddFinding(path, "must be %s, not %s", f.expectedType(), describeValue(v))
}

// describeValue returns the description of a value in messages.
func describeValue(v *hujson.Value) string {
	switch literal := v.Value.(type) {
	case *hujson.Object:
		return kindPhrases[Object]
	case *hujson.Array:
		return kindPhrases[List]
	case hujson.Literal:
		return truncate(string(literal))
	default:
		return "this"
	}
}

func containsString(list []string, s string) bool {
	for _, element := range list {
		if element == s {
			return true
		}
	}
	return false
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func secondsToDuration(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
