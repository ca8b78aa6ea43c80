package config

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// SetZone returns the text with the inService value of one zone replaced. All other
// bytes, comments included, stay as they are. An unknown zone is a trace.NotFound error.
func SetZone(data []byte, zone model.Zone, inService bool) ([]byte, error) {
	root, err := hujson.Parse(append([]byte(nil), data...))
	if err != nil {
		return nil, trace.Wrap(err, "the text cannot be read")
	}
	value, err := findInService(&root, zone)
	if err != nil {
		return nil, err
	}
	out := append([]byte(nil), data[:value.StartOffset]...)
	out = fmt.Appendf(out, "%t", inService)
	return append(out, data[value.EndOffset:]...), nil
}

func findInService(root *hujson.Value, zone model.Zone) (*hujson.Value, error) {
	zones := member(root, "availabilityZones")
	if zones == nil {
		return nil, trace.BadParameter("the text has no availability zones")
	}
	array, _ := zones.Value.(*hujson.Array)
	for i := 0; array != nil && i < len(array.Elements); i++ {
		if literalText(member(&array.Elements[i], "name")) != string(zone) {
			continue
		}
		if value := member(&array.Elements[i], "inService"); value != nil {
			return value, nil
		}
		return nil, trace.BadParameter("zone %q has no field inService", zone)
	}
	return nil, trace.NotFound("there is no availability zone %q", zone)
}

// member returns the value of a member of an object, or nil.
func member(v *hujson.Value, name string) *hujson.Value {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for i := range object.Members {
		if literalText(&object.Members[i].Name) == name {
			return &object.Members[i].Value
		}
	}
	return nil
}

func literalText(v *hujson.Value) string {
	if v == nil {
		return ""
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return ""
	}
	return literal.String()
}
