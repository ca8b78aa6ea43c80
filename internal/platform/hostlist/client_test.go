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

// TestDecodeEqualsUnmarshal guards against a list that is decoded differently element by
// element than by json.Unmarshal, and against errors at fields of later versions.
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
	got, err := decodeList(strings.NewReader(later))
	if err != nil || !reflect.DeepEqual(*got, list) {
		t.Fatalf("got %+v, %v", got, err)
	}
	if _, err := decodeList(strings.NewReader(string(data[:len(data)/2]))); err == nil {
		t.Fatal("half a list was accepted")
	}
	if got, err := decodeList(strings.NewReader(`{"workers":null}`)); err != nil || got.Workers != nil {
		t.Fatalf("a list without workers: %+v, %v", got, err)
	}
}

// TestFetchAcceptsCompression guards against fetching the list without compression: for
// 7,500 workers, 1.5 MB at each change would exceed the total traffic budget.
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
