package bench

import "testing"

// TestRequestBounds guards against routing that misses the bounds of the design page:
// request_p99 at most half of round robin's, retries_share at most 0.1.
func TestRequestBounds(t *testing.T) {
	for _, f := range boundedRequestResults(1) {
		t.Logf("%s\t%.4g\t%s\t%s\t%.4g", f.Name, f.Value, f.Unit, f.BaselineName, f.BaselineValue)
		if f.Name == "request_p99" && f.Value > 0.5*f.BaselineValue {
			t.Errorf("request_p99 %.1f ms, want at most half of round robin's %.1f ms", f.Value, f.BaselineValue)
		}
		if f.Name == "retries_share" && f.Value > 0.1 {
			t.Errorf("retries_share %.4f, want at most 0.1", f.Value)
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
