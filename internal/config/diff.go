package config

import (
	"encoding/json"
	"fmt"
	"sort"
)

// ChangeKind says what happened to an entry of the text.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Item says which list an entry stands in.
type Item string

// Lists of the text.
const (
	ItemZone         Item = "zone"
	ItemOrganisation Item = "organisation"
	ItemService      Item = "service"
	ItemOperator     Item = "operator"
)

// Change is one difference between two texts. Field, Old and New are set for changed
// entries; Old and New are JSON, empty for a field that is absent.
type Change struct {
	Kind  ChangeKind `json:"kind"`
	Item  Item       `json:"item"`
	Name  string     `json:"name"`
	Field string     `json:"field,omitempty"`
	Old   string     `json:"old,omitempty"`
	New   string     `json:"new,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Kind != Changed {
		return fmt.Sprintf("%s %s %s", c.Kind, c.Item, c.Name)
	}
	return fmt.Sprintf("%s %s %s: %s %s -> %s", c.Kind, c.Item, c.Name, c.Field, orNone(c.Old), orNone(c.New))
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// Diff returns the differences from old to next, sorted by list, name and field. A nil
// text counts as empty.
func Diff(old, next *Text) []Change {
	if old == nil {
		old = &Text{}
	}
	if next == nil {
		next = &Text{}
	}
	var all []Change
	all = append(all, diffList(ItemZone, old.AvailabilityZones, next.AvailabilityZones)...)
	all = append(all, diffList(ItemOrganisation, old.Organisations, next.Organisations)...)
	all = append(all, diffList(ItemService, old.Services, next.Services)...)
	return append(all, diffList(ItemOperator, old.Operators, next.Operators)...)
}

// fields holds the JSON of the fields of one entry.
type fields map[string]json.RawMessage

func diffList[T any](item Item, old, next []T) []Change {
	before, after := byName(old), byName(next)
	var all []Change
	for _, name := range sortedKeys(before, after) {
		b, a := before[name], after[name]
		switch {
		case a == nil:
			all = append(all, Change{Kind: Removed, Item: item, Name: name})
		case b == nil:
			all = append(all, Change{Kind: Added, Item: item, Name: name})
		default:
			all = append(all, diffFields(item, name, b, a)...)
		}
	}
	return all
}

func diffFields(item Item, name string, before, after fields) []Change {
	var all []Change
	for _, field := range sortedKeys(before, after) {
		b, a := string(before[field]), string(after[field])
		if a != b {
			all = append(all, Change{Kind: Changed, Item: item, Name: name, Field: field, Old: b, New: a})
		}
	}
	return all
}

// byName maps names to the fields of the entries. The entries are the plain structs of
// the text, which always encode as JSON objects.
func byName[T any](entries []T) map[string]fields {
	all := make(map[string]fields, len(entries))
	for _, entry := range entries {
		data, err := json.Marshal(entry)
		if err != nil {
			continue
		}
		var f fields
		var name string
		if json.Unmarshal(data, &f) == nil && json.Unmarshal(f["name"], &name) == nil {
			all[name] = f
		}
	}
	return all
}

func sortedKeys[V any](maps ...map[string]V) []string {
	seen := map[string]bool{}
	var keys []string
	for _, m := range maps {
		for k := range m {
			if !seen[k] {
				seen[k] = true
				keys = append(keys, k)
			}
		}
	}
	sort.Strings(keys)
	return keys
}
