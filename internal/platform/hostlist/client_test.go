package hostlist

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Guards against a list that is read differently element by element than as a whole,
// and against fields of later versions that end the reading.
func TestDecodeEqualsUnmarshal(t *testing.T) {
	list := List{Version: 7, Hosts: []EntryHost{{ID: "a-1", Zone: "a", Leaving: true}}}
	for i := range 20 {
		list.Workers = append(list.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprint("w", i)), Zone: "a", Rack: fmt.Sprint("r", i/6), Address: "http://w",
			Capacity: model.Resources{CPUs: 1, MemoryMB: 2, Accelerators: 3}, Health: model.WorkerLeaving,
		})
	}
	list.Targets = []model.Target{{ID: "t", Zone: "a", Service: "s", Slots: 8}}
	data, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	later := strings.Replace(string(data), "{", `{"later":{"x":[1]},`, 1)
	got, err := decode(strings.NewReader(later))
	if err != nil || !reflect.DeepEqual(*got, list) {
		t.Fatalf("got %+v, %v", got, err)
	}
	if _, err := decode(strings.NewReader(string(data[:len(data)/2]))); err == nil {
		t.Fatal("half a list was accepted")
	}
	if got, err := decode(strings.NewReader(`{"workers":null}`)); err != nil || got.Workers != nil {
		t.Fatalf("a list without workers: %+v, %v", got, err)
	}
}

// Guards against a list that travels without compression: 1.5 MB for each change at
// the design size exceeded the whole traffic budget.
func TestFetchAcceptsCompression(t *testing.T) {
	accepted := ""
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		accepted = r.Header.Get("Accept-Encoding")
		_, _ = rw.Write([]byte(`{"version":1}`))
	}))
	defer s.Close()
	list, changed, err := New(s.URL, metrics.NewRegistry()).Fetch(t.Context())
	if err != nil || !changed || list.Version != 1 || accepted != "gzip" {
		t.Fatalf("got %+v, %v, %v with %q", list, changed, err, accepted)
	}
}
