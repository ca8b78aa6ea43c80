package hostlist

import (
	"encoding/json"
	"io"
	"slices"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/model"
)

// decode reads a list element by element: a whole list of the design size would
// take several megabytes of buffers, a fifth of the daemon's memory.
func decode(r io.Reader) (*List, error) {
	d := json.NewDecoder(r)
	list := &List{}
	if err := expect(d, json.Delim('{')); err != nil {
		return nil, trace.Wrap(err)
	}
	for d.More() {
		if err := decodeField(d, list); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if err := expect(d, json.Delim('}')); err != nil {
		return nil, trace.Wrap(err)
	}
	return list, nil
}

func decodeField(d *json.Decoder, list *List) error {
	name, err := d.Token()
	if err != nil {
		return trace.Wrap(err)
	}
	switch name {
	case "version":
		return trace.Wrap(d.Decode(&list.Version))
	case "hosts":
		return trace.Wrap(d.Decode(&list.Hosts))
	case "workers":
		list.Workers, err = decodeWorkers(d)
		return trace.Wrap(err)
	case "targets":
		return trace.Wrap(d.Decode(&list.Targets))
	default:
		var ignored json.RawMessage
		return trace.Wrap(d.Decode(&ignored))
	}
}

// decodeWorkers reads the workers and lets those of a zone or rack share its name.
func decodeWorkers(d *json.Decoder) ([]model.Worker, error) {
	start, err := d.Token()
	if err != nil || start == nil {
		return nil, trace.Wrap(err)
	}
	if start != json.Delim('[') {
		return nil, trace.BadParameter("the workers are not a list")
	}
	names := map[string]string{}
	shared := func(name string) string {
		if kept, ok := names[name]; ok {
			return kept
		}
		names[name] = name
		return name
	}
	var workers []model.Worker
	for d.More() {
		var w model.Worker
		if err := d.Decode(&w); err != nil {
			return nil, trace.Wrap(err)
		}
		w.Zone, w.Rack = model.Zone(shared(string(w.Zone))), shared(w.Rack)
		w.Health = model.WorkerHealth(shared(string(w.Health)))
		workers = append(workers, w)
	}
	return slices.Clone(workers), trace.Wrap(expect(d, json.Delim(']')))
}

func expect(d *json.Decoder, delim json.Delim) error {
	token, err := d.Token()
	if err != nil {
		return trace.Wrap(err)
	}
	if token != delim {
		return trace.BadParameter("the host list has %v in place of %v", token, delim)
	}
	return nil
}
