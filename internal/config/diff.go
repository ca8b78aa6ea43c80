package config

import (
	"encoding/json"
	"fmt"
	"sort"
)

// ChangeKind is the kind of a change to an entry of the configuration.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAdded    ChangeKind = "added"
	ChangeRemoved  ChangeKind = "removed"
	ChangeModified ChangeKind = "changed"
)

// EntryKind is the kind of an entry of the configuration.
type EntryKind string

// Kinds of entries.
const (
	EntryZone         EntryKind = "zone"
	EntryOrganisation EntryKind = "organisation"
	EntryService      EntryKind = "service"
	EntryOperator     EntryKind = "operator"
)

// Change is one difference between two configurations. Field, Old and New are set only for
// ChangeModified; Old and New are JSON values, empty if the field is absent.
type Change struct {
	Kind      ChangeKind `json:"kind"`
	EntryKind EntryKind  `json:"item"`
	Name      string     `json:"name"`
	Field     string     `json:"field,omitempty"`
	Old       string     `json:"old,omitempty"`
	New       string     `json:"new,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	if c.Kind != ChangeModified {
		return fmt.Sprintf("%s %s %s", c.Kind, c.EntryKind, c.Name)
	}
	return fmt.Sprintf("%s %s %s: %s %s -> %s", c.Kind, c.EntryKind, c.Name, c.Field, orNone(c.Old), orNone(c.New))
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// Diff returns the changes from old to next, grouped by entry kind and then sorted by name
// and field. A nil configuration counts as empty.
func Diff(old, next *Config) []Change {
	if old == nil {
		old = &Config{}
	}
	if next == nil {
		next = &Config{}
	}
	var changes []Change
	changes = append(changes, diffList(EntryZone, old.AvailabilityZones, next.AvailabilityZones)...)
	changes = append(changes, diffList(EntryOrganisation, old.Organisations, next.Organisations)...)
	changes = append(changes, diffList(EntryService, old.Services, next.Services)...)
	return append(changes, diffList(EntryOperator, old.Operators, next.Operators)...)
}

// entryFields maps the field names of one entry to their JSON values.
type entryFields map[string]json.RawMessage

func diffList[T any](entryKind EntryKind, old, next []T) []Change {
	oldEntries, newEntries := fieldsByName(old), fieldsByName(next)
	var changes []Change
	for _, name := range sortedKeys(oldEntries, newEntries) {
		oldFields, newFields := oldEntries[name], newEntries[name]
		switch {
		case newFields == nil:
			changes = append(changes, Change{Kind: ChangeRemoved, EntryKind: entryKind, Name: name})
		case oldFields == nil:
			changes = append(changes, Change{Kind: ChangeAdded, EntryKind: entryKind, Name: name})
		default:
			changes = append(changes, diffFields(entryKind, name, oldFields, newFields)...)
		}
	}
	return changes
}

func diffFields(entryKind EntryKind, name string, before, after entryFields) []Change {
	var changes []Change
	for _, field := range sortedKeys(before, after) {
		oldValue, newValue := string(before[field]), string(after[field])
		if newValue != oldValue {
			changes = append(changes, Change{Kind: ChangeModified, EntryKind: entryKind, Name: name, Field: field, Old: oldValue, New: newValue})
		}
	}
	return changes
}

// fieldsByName maps the name of each entry to its fields. The entries are structs of the
// configuration, which always encode as JSON objects.
func fieldsByName[T any](entries []T) map[string]entryFields {
	byName := make(map[string]entryFields, len(entries))
	for _, entry := range entries {
		data, err := json.Marshal(entry)
		if err != nil {
			continue
		}
		var f entryFields
		var name string
		if json.Unmarshal(data, &f) == nil && json.Unmarshal(f["name"], &name) == nil {
			byName[name] = f
		}
	}
	return byName
}

// sortedKeys returns the distinct keys of all maps in ascending order.
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
