package bench

import "testing"

// TestRequestBounds guards against routing that misses the bounds of docs/design.md:
// request_p99 at most half of round robin's, retries_share at most 0.1.
func TestRequestBounds(t *testing.T) {
	for _, r := range boundedRequestResults(1) {
		t.Logf("%s\t%.4g\t%s\t%s\t%.4g", r.Name, r.Value, r.Unit, r.BaselineName, r.BaselineValue)
		if r.Name == "request_p99" && r.Value > 0.5*r.BaselineValue {
			t.Errorf("request_p99 %.1f ms, want at most half of round robin's %.1f ms", r.Value, r.BaselineValue)
		}
		if r.Name == "retries_share" && r.Value > 0.1 {
			t.Errorf("retries_share %.4f, want at most 0.1", r.Value)
		}
	}
}

// TestRequestSimulationIsDeterministic guards against two runs with the same seed that
// differ.
func TestRequestSimulationIsDeterministic(t *testing.T) {
	sc := requestScenario{requests: 2000, load: 0.8, skew: 2, slowTargets: 1, slowFactor: 5, failingTargets: 1}
	if a, b := simulateRequests(7, sc, powerOfTwo), simulateRequests(7, sc, powerOfTwo); a != b {
		t.Errorf("two runs of one seed differ: %+v and %+v", a, b)
	}
}
