package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets the scripts run the test binary as the command daisyfold.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"daisyfold": func() { os.Exit(Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts in testdata, which check the output and exit codes of the
// commands.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: startFakeDaemon,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"exits": runAndCheckExitCode},
	})
}

// runAndCheckExitCode implements the script command "exits CODE command args...". It runs
// a command and compares its exit code.
func runAndCheckExitCode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE command args...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// apiResponses holds the response of the fake daemon to each method and path.
var apiResponses = map[string]struct {
	status int
	body   string
}{
	"POST /v1/jobs":                {200, `{"id": "j1", "durability": "log", "state": "waiting"}`},
	"GET /v1/jobs/done/wait":       {200, jobJSON("done", "finished")},
	"GET /v1/jobs/bad/wait":        {200, jobJSON("bad", "failed")},
	"GET /v1/jobs/slow/wait":       {200, jobJSON("slow", "running")},
	"GET /v1/jobs/none":            {404, errorJSON("not_run", "not_found")},
	"GET /v1/jobs":                 {200, `{"jobs": [` + jobJSON("done", "finished") + `]}`},
	"POST /v1/jobs/done/cancel":    {500, errorJSON("unknown", "internal")},
	"POST /v1/zones/brest":         {200, `{"state": "pending", "version": 7}`},
	"POST /v1/zones/vannes":        {503, errorJSON("not_run", "log_unavailable")},
	"GET /v1/config":               {503, errorJSON("not_run", "no_configuration")},
	"POST /v1/config":              {200, `{"version": 1}`},
	"POST /v1/services/lost/call":  {502, errorJSON("unknown", "unknown_outcome")},
	"POST /v1/services/taken/call": {410, errorJSON("ran", "answer_not_kept")},
}

func jobJSON(id, state string) string {
	return fmt.Sprintf(`{"organisation": "schools", "id": %q, "service": "proofs", "state": %q, "tasks": 2,
		"accelerators": 4, "attempt": 1, "acceptedUnixMS": 0}`, id, state)
}

func errorJSON(outcome, code string) string {
	return fmt.Sprintf(`{"outcome": %q, "code": %q, "message": "a message"}`, outcome, code)
}

// startFakeDaemon starts the fake daemon and sets the addresses for the scripts. An address
// that refuses connections and a daemon that is leaving come before the fake daemon.
func startFakeDaemon(e *testscript.Env) error {
	server := httptest.NewServer(http.HandlerFunc(serveRequest))
	e.Defer(server.Close)
	closed := httptest.NewServer(nil)
	closed.Close()
	leaving := httptest.NewServer(http.HandlerFunc(serveLeaving))
	e.Defer(leaving.Close)
	e.Setenv("LEAVING", leaving.URL)
	e.Setenv("REFUSING", closed.URL)
	e.Setenv("DAISYFOLD_ADDRESS", closed.URL+","+leaving.URL+","+server.URL+","+server.URL)
	e.Setenv("DAISYFOLD_KEY", "schools-key")
	return nil
}

func serveLeaving(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, errorJSON("not_run", "leaving"))
}

func serveRequest(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/echo/call") {
		serveEcho(w, r)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/broken/call") {
		serveAbortingFirst(w, r)
		return
	}
	response, ok := apiResponses[r.Method+" "+r.URL.Path]
	if !ok {
		response.status, response.body = 404, errorJSON("not_run", "not_found")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.status)
	_, _ = io.WriteString(w, response.body)
}

var abortedIDs sync.Map

// serveAbortingFirst aborts the connection of the first request with an id and responds to
// the next ones, so that a script can detect whether the tool sent the request again.
func serveAbortingFirst(w http.ResponseWriter, r *http.Request) {
	if _, again := abortedIDs.LoadOrStore(r.Header.Get("Request-Id"), true); !again {
		panic(http.ErrAbortHandler)
	}
	serveEcho(w, r)
}

func serveEcho(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Target-Status", "200")
	_, _ = io.Copy(w, r.Body)
}

// TestHelpWidth checks that help texts fit into a terminal of 80 columns.
func TestHelpWidth(t *testing.T) {
	for _, args := range [][]string{{}, {"check"}, {"job", "submit"}, {"job", "wait"}, {"request"}, {"zone", "out"}} {
		var out strings.Builder
		if code := Run(append(args, "--help"), nil, &out, io.Discard); code != exitOK {
			t.Errorf("%v: exit code %d", args, code)
		}
		for _, l := range strings.Split(out.String(), "\n") {
			if len(l) > maxLineWidth {
				t.Errorf("%v: %d columns: %s", args, len(l), l)
			}
		}
	}
}

// TestOutputWidth checks that tables and lines fit into a terminal of 80 columns.
func TestOutputWidth(t *testing.T) {
	long := strings.Repeat("long-name", 7)
	free := api.NewOptInt(7999)
	status := &api.Status{
		Host: long, Zone: long, Findings: []string{strings.Repeat("word ", 40)},
		Zones: []api.ZoneStatus{{Zone: long, Workers: 7500, Targets: 500, AcceleratorsFree: free,
			AcceleratorsTotal: free, Fragmentation: api.NewOptFloat64(1), Evidence: long}},
		Organisations: []api.OrganisationStatus{{Organisation: long, GuaranteedAccelerators: 8000,
			UsedAccelerators: 8000, WaitingJobs: 17000, RunningJobs: 17000}},
		Hosts: []api.HostStatus{{Host: long, Zone: long, Leaving: true}},
	}
	jobs := []api.Job{{ID: long, Organisation: long, State: "cancelled", Tasks: 512, Accelerators: 8, Zone: api.NewOptString(long)}}
	var out strings.Builder
	writeStatus(&out, status)
	writeTable(&out, jobRows(jobs))
	writeReasons(&out, []api.Reason{{Code: "no_free_shape", Detail: strings.Repeat("word ", 40)}, {Code: "placed"}})
	writeReasons(&out, nil)
	for _, l := range strings.Split(out.String(), "\n") {
		if len(l) > maxLineWidth {
			t.Errorf("%d columns: %s", len(l), l)
		}
	}
}

// TestKeepZonesOut checks that publishing a file that is older than the last 'zone out'
// does not take the zone back into service.
func TestKeepZonesOut(t *testing.T) {
	data, err := os.ReadFile("../../examples/kerherve/daisyfold.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	next, _ := config.Parse("next", data)
	out, err := config.SetZoneInService(data, "brest", false)
	if err != nil {
		t.Fatal(err)
	}
	current, _ := config.Parse("current", out)
	got, kept, err := keepZonesOut(data, next, current)
	if err != nil || string(got) != string(out) || len(kept) != 1 || kept[0] != "brest" {
		t.Errorf("kept %v, error %v", kept, err)
	}
	if changes := config.Diff(current, next); len(changes) > 0 {
		t.Errorf("got changes %v", changes)
	}
}
