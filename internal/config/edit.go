package config

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// SetZoneInService returns a copy of data with the inService value of one zone replaced.
// All other bytes, including comments, are unchanged. It returns a trace.NotFound error if
// there is no such zone.
func SetZoneInService(data []byte, zone model.Zone, inService bool) ([]byte, error) {
	root, err := hujson.Parse(append([]byte(nil), data...))
	if err != nil {
		return nil, trace.Wrap(err, "the configuration cannot be parsed")
	}
	value, err := findInService(&root, zone)
	if err != nil {
		return nil, err
	}
	out := append([]byte(nil), data[:value.StartOffset]...)
	out = fmt.Appendf(out, "%t", inService)
	return append(out, data[value.EndOffset:]...), nil
}

// findInService returns the inService value of a zone.
func findInService(root *hujson.Value, zone model.Zone) (*hujson.Value, error) {
	zones := objectMember(root, "availabilityZones")
	if zones == nil {
		return nil, trace.BadParameter("the configuration has no availability zones")
	}
	array, _ := zones.Value.(*hujson.Array)
	for i := 0; array != nil && i < len(array.Elements); i++ {
		if stringValue(objectMember(&array.Elements[i], "name")) != string(zone) {
			continue
		}
		if value := objectMember(&array.Elements[i], "inService"); value != nil {
			return value, nil
		}
		return nil, trace.BadParameter("zone %q has no field inService", zone)
	}
	return nil, trace.NotFound("there is no availability zone %q", zone)
}

// objectMember returns the value of the named member of the object v, or nil if there is
// none.
func objectMember(v *hujson.Value, name string) *hujson.Value {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for i := range object.Members {
		if stringValue(&object.Members[i].Name) == name {
			return &object.Members[i].Value
		}
	}
	return nil
}

// stringValue returns the string that v holds, or "" if v is nil or not a string.
func stringValue(v *hujson.Value) string {
	if v == nil {
		return ""
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return ""
	}
	return literal.String()
}
