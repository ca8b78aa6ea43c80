// Package jsontext checks JSON with comments against a table of fields. It collects
// every fault with its position, and it writes the reference page of the same table.
package jsontext

import "fmt"

// Kind is the type of a value.
type Kind int

// Kinds of values.
const (
	Object Kind = iota
	List
	String
	Integer
	Number
	Bool
	Duration // text that time.ParseDuration accepts, for example "2s"
)

// kindNames holds the wording of kinds in messages and on the reference pages.
var kindNames = map[Kind]string{
	Object:   "an object",
	List:     "a list",
	String:   "a text in quotes",
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
	// Default is the value that applies without the field, for the reference page.
	Default string
	// Unit is the unit of a number, for example "seconds".
	Unit string
	// Bound limits a number, the seconds of a duration, the length in bytes of a
	// text, or the length of a list. The zero value sets no limit.
	Bound Bound
	// Enum lists the allowed texts when it is not empty.
	Enum []string
	// Format checks a text when it is not nil.
	Format *Format
	// Fields are the members of an object.
	Fields []Field
	// Elem describes the elements of a list.
	Elem *Field
}

// Bound is an inclusive range.
type Bound struct{ Min, Max float64 }

// Range returns the bound from low to high.
func Range(low, high float64) Bound { return Bound{Min: low, Max: high} }

func (b Bound) isSet() bool { return b != Bound{} }

func (b Bound) contains(x float64) bool { return !b.isSet() || (x >= b.Min && x <= b.Max) }

func (b Bound) String() string {
	return fmt.Sprintf("%s to %s", formatNumber(b.Min), formatNumber(b.Max))
}

// Format is a named rule for texts.
type Format struct {
	// Name completes the phrase "must be ...".
	Name  string
	Valid func(string) bool
}

func (f *Field) member(name string) *Field {
	for i := range f.Fields {
		if f.Fields[i].Name == name {
			return &f.Fields[i]
		}
	}
	return nil
}

// wants returns the wording of the expected type, with the unit.
func (f *Field) wants() string {
	if f.Unit == "" {
		return kindNames[f.Kind]
	}
	return kindNames[f.Kind] + " of " + f.Unit
}
