package main

import "time"

const (
	// finishTime is how long after the end of the traffic accepted jobs are judged.
	finishTime = 14 * time.Second
	// idleTime is for how long a job must not have nothing running while there is room.
	idleTime = 3 * time.Second
)

// judgeIdle checks, after the end of the traffic, that a job of one step has not had nothing running
// for idleTime on end while more than half of the executors are free. The job must fit twice on
// half of them.
func (d *deployment) judgeIdle(job string) {
	r := d.record
	time.Sleep(finishTime)
	var idleSince time.Time
	for end := time.Now().Add(3 * idleTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		free := len(d.executors) - d.busyExecutors()
		_, started := d.startedAt(job)
		switch {
		case started:
			r.note("client", "job %s: %s", job, d.hosts[0].state(job))
			return
		case free < len(d.executors)/2+1:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		case time.Since(idleSince) >= idleTime:
			r.note("client", "job %s: %s", job, d.hosts[0].state(job))
			r.breaks("LOST: %v after the end of the traffic an accepted job has had nothing running for %v, while %d of %d executors were free",
				finishTime, idleTime, free, len(d.executors))
			return
		}
	}
}
