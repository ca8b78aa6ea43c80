package bench

import "testing"

// TestRequestBounds guards against routing that misses the bounds of the design
// page: request_p99 at most half of round robin's, retries at most a tenth of calls.
func TestRequestBounds(t *testing.T) {
	for _, f := range boundedRequests(1) {
		t.Logf("%s\t%.4g\t%s\t%s\t%.4g", f.Name, f.Value, f.Unit, f.BaselineName, f.BaselineValue)
		if f.Name == "request_p99" && f.Value > 0.5*f.BaselineValue {
			t.Errorf("request_p99 %.1f ms, want at most half of round robin's %.1f ms", f.Value, f.BaselineValue)
		}
		if f.Name == "retries_share" && f.Value > 0.1 {
			t.Errorf("retries_share %.4f, want at most 0.1", f.Value)
		}
	}
}

// TestRequestsRepeat guards against figures that differ between runs of one seed.
func TestRequestsRepeat(t *testing.T) {
	sc := scenario{requests: 2000, load: 0.8, skew: 2, slow: 1, slowFactor: 5, failing: 1}
	if a, b := runRequests(7, sc, powerOfTwo), runRequests(7, sc, powerOfTwo); a != b {
		t.Errorf("two runs of one seed differ: %+v and %+v", a, b)
	}
}
