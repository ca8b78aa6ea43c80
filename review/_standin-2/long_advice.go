package main

// playLongAdvice hands in a job of 24 tasks at a queue with a policy. A call for advice takes as long
// as the manifest says. After the end of the traffic the job must not have nothing running while
// executors are free.
func playLongAdvice(d *deployment, trouble bool) {
	r := d.record
	const job = "00000000000000b1"
	for range 48 {
		if _, err := d.addExecutor("a", "r1-1"); err != nil {
			r.abandon("%v", err)
			return
		}
	}
	if trouble {
		d.advisor.each = longEach
	}
	if !d.begin(3) {
		return
	}
	if !d.submitTo(policyPrefix, job, map[string]any{"spec": "work 2000", "steps": []map[string]any{
		{"count": 24, "cpu": 11000, "memMb": 59000, "gpu": 1, "estMs": 2000},
	}}) {
		return
	}
	r.note("client", "the traffic ends")
	d.judgeIdle(job)
}
