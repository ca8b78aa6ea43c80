package hostlist

import (
	"encoding/json"
	"io"
	"slices"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/model"
)

// decodeList decodes a list element by element. Decoding a list of 7,500 workers at once
// would take several megabytes of buffers, a fifth of the daemon's memory.
func decodeList(r io.Reader) (*List, error) {
	d := json.NewDecoder(r)
	list := &List{}
	if err := expectDelim(d, json.Delim('{')); err != nil {
		return nil, trace.Wrap(err)
	}
	for d.More() {
		if err := decodeField(d, list); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if err := expectDelim(d, json.Delim('}')); err != nil {
		return nil, trace.Wrap(err)
	}
	return list, nil
}

// decodeField decodes one field of the list. Unknown fields are ignored.
func decodeField(d *json.Decoder, list *List) error {
	key, err := d.Token()
	if err != nil {
		return trace.Wrap(err)
	}
	switch key {
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

// decodeWorkers decodes the workers. Workers share the strings of their zone, rack and
// health, to save memory.
func decodeWorkers(d *json.Decoder) ([]model.Worker, error) {
	start, err := d.Token()
	if err != nil || start == nil {
		return nil, trace.Wrap(err)
	}
	if start != json.Delim('[') {
		return nil, trace.BadParameter("the workers of the host list are not an array")
	}
	names := map[string]string{}
	intern := func(name string) string {
		if known, ok := names[name]; ok {
			return known
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
		w.Zone, w.Rack = model.Zone(intern(string(w.Zone))), intern(w.Rack)
		w.Health = model.WorkerHealth(intern(string(w.Health)))
		workers = append(workers, w)
	}
	return slices.Clone(workers), trace.Wrap(expectDelim(d, json.Delim(']')))
}

// expectDelim reads the next token and returns an error if it is not delim.
func expectDelim(d *json.Decoder, delim json.Delim) error {
	token, err := d.Token()
	if err != nil {
		return trace.Wrap(err)
	}
	if token != delim {
		return trace.BadParameter("the host list has %v instead of %v", token, delim)
	}
	return nil
}
