// Package jsontext checks JSON with comments against a schema, which is a table of fields.
// It collects all errors with their positions, and it generates the reference page of the
// schema.
package jsontext

import "fmt"

// Kind is the type of a value. The zero value is Object.
type Kind int

// Kinds of values.
const (
	Object Kind = iota
	List
	String
	Integer
	Number
	Bool
	Duration // string that time.ParseDuration accepts, for example "2s"
)

// kindPhrases holds the phrase for each kind in messages, with its article.
var kindPhrases = map[Kind]string{
	Object:   "an object",
	List:     "a list",
	String:   "text in quotes",
	Integer:  "a whole number",
	Number:   "a number",
	Bool:     "true or false",
	Duration: `a duration in quotes with a unit, such as "500ms", "2s" or "6h"`,
}

// Field describes one member of an object, or the elements of a list.
type Field struct {
	Name     string
	Doc      string
	Kind     Kind
	Required bool
	// Default is the value that the reference page shows for an absent field. Decode does
	// not apply it.
	Default string
	// Unit is the unit of a number, for example "seconds".
	Unit string
	// Bound limits the value of a number, a duration in seconds, the length of a string in
	// bytes, or the number of elements of a list. The zero value sets no limit.
	Bound Bound
	// Enum holds the allowed strings. If it is empty, all strings are allowed.
	Enum []string
	// Format, if not nil, checks a string.
	Format *Format
	// Fields describes the members of an object.
	Fields []Field
	// Elem describes the elements of a list.
	Elem *Field
}

// Bound is a range of numbers that includes Min and Max.
type Bound struct{ Min, Max float64 }

// Range returns the Bound from low to high, both included.
func Range(low, high float64) Bound { return Bound{Min: low, Max: high} }

// isSet reports whether b sets a limit.
func (b Bound) isSet() bool { return b != Bound{} }

func (b Bound) contains(x float64) bool { return !b.isSet() || (x >= b.Min && x <= b.Max) }

// String returns the range in the form "1 to 600".
func (b Bound) String() string {
	return fmt.Sprintf("%s to %s", formatNumber(b.Min), formatNumber(b.Max))
}

// Format is a rule for strings with a description.
type Format struct {
	// Name completes the phrase "must be ..." in messages.
	Name string
	// Valid reports whether a string conforms to the rule.
	Valid func(string) bool
}

// fieldByName returns the member of an object with the given name, or nil.
func (f *Field) fieldByName(name string) *Field {
	for i := range f.Fields {
		if f.Fields[i].Name == name {
			return &f.Fields[i]
		}
	}
	return nil
}

// expectedType returns the phrase for the expected type in messages, with the unit.
func (f *Field) expectedType() string {
	if f.Unit == "" {
		return kindPhrases[f.Kind]
	}
	return kindPhrases[f.Kind] + " of " + f.Unit
}
