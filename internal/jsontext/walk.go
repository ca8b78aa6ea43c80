package jsontext

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// walk checks a value and returns what is valid of it.
func (d *Document) walk(path string, f *Field, v *hujson.Value) (any, bool) {
	offset := d.orig(v.StartOffset)
	d.offsets[path] = offset
	if d.nulls[offset] {
		d.markBad(path)
		return nil, false
	}
	switch f.Kind {
	case Object:
		return d.walkObject(path, f, v)
	case List:
		return d.walkList(path, f, v)
	default:
		return d.walkLiteral(path, f, v)
	}
}

func (d *Document) walkObject(path string, f *Field, v *hujson.Value) (any, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addType(path, f, v)
		return nil, false
	}
	out := map[string]any{}
	seen := map[string]bool{}
	for i := range object.Members {
		d.walkMember(path, f, &object.Members[i], seen, out)
	}
	for i := range f.Fields {
		if m := &f.Fields[i]; m.Required && !seen[m.Name] {
			d.Add(path, "the field %q is missing", m.Name)
			d.bad[join(path, m.Name)] = true
		}
	}
	return out, true
}

func (d *Document) walkMember(path string, f *Field, m *hujson.ObjectMember, seen map[string]bool, out map[string]any) {
	name := m.Name.Value.(hujson.Literal).String()
	nameOffset := d.orig(m.Name.StartOffset)
	member := f.member(name)
	switch {
	case member == nil:
		d.markBad(path)
		d.addAt(nameOffset, "unknown field %q; the fields here are %s", name, f.memberNames())
		return
	case seen[name]:
		d.markBad(join(path, name))
		d.addAt(nameOffset, "the field %q occurs twice", name)
		return
	}
	seen[name] = true
	if value, ok := d.walk(join(path, name), member, &m.Value); ok {
		out[name] = value
	}
}

func (f *Field) memberNames() string {
	names := make([]string, len(f.Fields))
	for i := range f.Fields {
		names[i] = f.Fields[i].Name
	}
	return strings.Join(names, ", ")
}

func (d *Document) walkList(path string, f *Field, v *hujson.Value) (any, bool) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addType(path, f, v)
		return nil, false
	}
	if n := len(array.Elements); !f.Bound.contains(float64(n)) {
		d.Add(path, "%d entries; allowed are %s", n, f.Bound)
	}
	out := []any{}
	for i := range array.Elements {
		element := fmt.Sprintf("%s[%d]", path, i)
		value, ok := d.walk(element, f.Elem, &array.Elements[i])
		if !ok {
			value = nil // keeps the indices of the text
		}
		out = append(out, value)
	}
	return out, true
}

func (d *Document) walkLiteral(path string, f *Field, v *hujson.Value) (any, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.addType(path, f, v)
		return nil, false
	}
	switch f.Kind {
	case String, Duration:
		return d.walkText(path, f, v, literal)
	case Integer, Number:
		return d.walkNumber(path, f, v, literal)
	default:
		if kind := literal.Kind(); kind != 't' && kind != 'f' {
			d.addType(path, f, v)
			return nil, false
		}
		return literal.Bool(), true
	}
}

func (d *Document) walkText(path string, f *Field, v *hujson.Value, literal hujson.Literal) (any, bool) {
	if literal.Kind() != '"' {
		d.addType(path, f, v)
		return nil, false
	}
	text := literal.String()
	if f.Kind == Duration {
		return text, d.checkDuration(path, f, text)
	}
	switch {
	case len(f.Enum) > 0 && !contains(f.Enum, text):
		d.Add(path, "%q is not allowed here; allowed are %s", text, strings.Join(f.Enum, ", "))
	case !f.Bound.contains(float64(len(text))):
		d.Add(path, "%d bytes long; allowed are %s", len(text), f.Bound)
	case f.Format != nil && !f.Format.Valid(text):
		// The text is kept, so that references to a badly written name still match it.
		d.Add(path, "%q must be %s", text, f.Format.Name)
		return text, true
	default:
		return text, true
	}
	return nil, false
}

func (d *Document) checkDuration(path string, f *Field, text string) bool {
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.Add(path, "%q must be %s", text, kindNames[Duration])
		return false
	}
	if f.Bound.contains(duration.Seconds()) {
		return true
	}
	d.Add(path, "%s is out of range; allowed are %s to %s", text, seconds(f.Bound.Min), seconds(f.Bound.Max))
	return false
}

func (d *Document) walkNumber(path string, f *Field, v *hujson.Value, literal hujson.Literal) (any, bool) {
	if literal.Kind() != '0' {
		d.addType(path, f, v)
		return nil, false
	}
	x, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || (f.Kind == Integer && (x != math.Trunc(x) || math.Abs(x) > math.MaxInt32)) {
		d.addType(path, f, v)
		return nil, false
	}
	if !f.Bound.contains(x) {
		d.Add(path, "%s is out of range; allowed are %s", literal, f.Bound)
		return nil, false
	}
	if f.Kind == Integer {
		return int64(x), true
	}
	return x, true
}

// addType reports a value of the wrong type or unit.
func (d *Document) addType(path string, f *Field, v *hujson.Value) {
	d.Add(path, "must be %s, not %s", f.wants(), describe(v))
}

func describe(v *hujson.Value) string {
	switch literal := v.Value.(type) {
	case *hujson.Object:
		return kindNames[Object]
	case *hujson.Array:
		return kindNames[List]
	case hujson.Literal:
		return shorten(string(literal))
	default:
		return "this"
	}
}

func contains(all []string, s string) bool {
	for _, a := range all {
		if a == s {
			return true
		}
	}
	return false
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
