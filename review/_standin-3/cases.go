package main

import (
	"net/http"
	"time"
)

// job is the body of a submission of one step.
func job(spec string, step fields) fields { return fields{"spec": spec, "steps": []fields{step}} }

func oneTask(estimate time.Duration) fields {
	return fields{"count": 1, "cpu": 1000, "memMb": 256, "gpu": 1, "estMs": estimate.Milliseconds()}
}

// submit hands a job in at the first host until it is accepted, and reports whether it was.
func (d *deployment) submit(path, key string, body fields) bool {
	for range 10 {
		if status, _ := d.hosts[0].call(http.MethodPost, path, key, body); status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// playTenant lets a caller with the key of another tenant cancel a job.
func playTenant(d *deployment, trouble bool) verdict {
	const (
		path       = "/lohu930/5c0e7a21d94b36f8"
		id         = "5c0e7a21d94b36f8"
		owner      = "key-a"
		other      = "key-b"
		work       = 12 * time.Second
		untilCalls = 4 * time.Second
	)
	public := route("r-2", "/gono990/", "icereport")
	public["public"] = true
	d.putManifest([]fields{route("r-1", "/lohu930/", "icereport"), public}, []fields{service("icereport")},
		[]fields{tenant("kaje80", owner), tenant("zuvo11", other)})
	if err := d.addWorkers(8, "i-", "icereport", "a"); err != nil {
		return notRun("%v", err)
	}
	if err := d.startHosts(3); err != nil {
		return notRun("%v", err)
	}
	if !d.submit(path, owner, job("work=12000", oneTask(work))) {
		return notRun("the job is not accepted")
	}
	if d.runnerOf(id, untilCalls, 15*time.Second) == nil {
		return notRun("the job does not begin")
	}
	if trouble {
		d.rec.note("a caller of tenant zuvo11, which has handed in no job, asks for the job and cancels it")
		d.hosts[1].state(path, other)
		d.hosts[1].state("/gono990/"+id, "")
		d.hosts[1].call(http.MethodDelete, path, other, nil)
	}
	state := d.hosts[0].awaitState(path, owner, 30*time.Second, "completed", "failed", "cancelled")
	switch state {
	case "cancelled":
		return broken("LOST: the job of tenant kaje80 is shown as cancelled; that tenant has not cancelled it")
	case "completed":
		return held("the job is shown as completed")
	}
	return notRun("the job is shown as %q", state)
}

// playIDs lets requesters of two tenants choose the same id in two queues whose services differ.
func playIDs(d *deployment, trouble bool) verdict {
	const (
		idOfA = "0000000000000001"
		keyA  = "key-a"
		keyB  = "key-b"
		work  = 3 * time.Second
	)
	idOfB := "0000000000000002"
	if trouble {
		idOfB = idOfA
	}
	pathA, pathB := "/lohu930/"+idOfA, "/pule252/"+idOfB
	d.putManifest([]fields{route("r-1", "/lohu930/", "proofs"), route("r-2", "/pule252/", "notices")},
		[]fields{service("proofs"), service("notices")}, []fields{tenant("kaje80", keyA), tenant("zuvo11", keyB)})
	if err := d.addWorkers(4, "i-p", "proofs", "a"); err != nil {
		return notRun("%v", err)
	}
	if err := d.addWorkers(4, "i-n", "notices", "a"); err != nil {
		return notRun("%v", err)
	}
	if err := d.startHosts(3); err != nil {
		return notRun("%v", err)
	}
	if !d.submit(pathA, keyA, job("work=3000 proof of kaje80", oneTask(work))) || !d.submit(pathB, keyB, job("work=3000 notice of zuvo11", oneTask(work))) {
		return notRun("a job is not accepted")
	}
	stateA := d.hosts[1].awaitState(pathA, keyA, 20*time.Second, "completed", "failed", "cancelled")
	stateB := d.hosts[2].awaitState(pathB, keyB, 20*time.Second, "completed", "failed", "cancelled")
	doneA, doneB := d.doneOn("proofs"), d.doneOn("notices")
	d.rec.note("runs that have ended done: %d on executors of the first job's service, %d on those of the second's", doneA, doneB)
	switch {
	case stateA == "completed" && doneA == 0:
		return broken("MIXED: the first job is shown as completed; no executor of its service has run its task")
	case stateB == "completed" && doneB == 0:
		return broken("MIXED: the second job is shown as completed; no executor of its service has run its task")
	case stateA == "completed" && stateB == "completed":
		return held("both jobs are shown as completed, and their tasks have ended done")
	}
	return notRun("the jobs are shown as %q and %q", stateA, stateB)
}

// doneOn returns how many runs have ended done on the workers of a service.
func (d *deployment) doneOn(service string) int {
	n := 0
	for _, w := range d.workers {
		if w.service == service {
			n += w.endsAs("done")
		}
	}
	return n
}

// playWaiting lets the only worker of ten that has a label refuse starts as busy for six seconds, and
// asks for the number of waiting jobs that need the label.
func playWaiting(d *deployment, trouble bool) verdict {
	const (
		key     = "key-a"
		work    = 2 * time.Second
		counted = 5200 * time.Millisecond // visible_ms and 2 s, and a little more
		busyFor = 6500 * time.Millisecond
		settled = 4 * time.Second
	)
	paths := []string{"/lohu930/00000000000000a1", "/lohu930/00000000000000a2", "/lohu930/00000000000000a3", "/lohu930/00000000000000a4"}
	d.putManifest([]fields{route("r-1", "/lohu930/", "icereport")}, []fields{service("icereport")}, []fields{tenant("kaje80", key)})
	if err := d.addWorkers(9, "i-", "icereport", "a"); err != nil {
		return notRun("%v", err)
	}
	if err := d.addWorkers(1, "i-b", "icereport", "b"); err != nil {
		return notRun("%v", err)
	}
	if err := d.startHosts(3); err != nil {
		return notRun("%v", err)
	}
	time.Sleep(settled) // all hosts are in touch from now on
	labelled := d.workers[len(d.workers)-1]
	began := time.Now()
	if trouble {
		labelled.setBusy(true)
		time.AfterFunc(busyFor, func() { labelled.setBusy(false) })
	}
	step := oneTask(work)
	step["requires"] = "b"
	for _, path := range paths {
		if !d.submit(path, key, job("work=2000", step)) {
			return notRun("a job is not accepted")
		}
	}
	accepted := time.Now()
	time.Sleep(time.Until(accepted.Add(counted)))
	notBegun := 0
	for _, path := range paths {
		if len(labelled.startsOf(path[len("/lohu930/"):])) == 0 {
			notBegun++
		}
	}
	d.rec.note("%d jobs were accepted over 5 s ago and have not begun", notBegun)
	d.hosts[0].state(paths[0], key)
	var v verdict
	for _, h := range d.hosts {
		status, answer := h.call(http.MethodGet, "/lohu930/", key, nil)
		count, ok := answer["waitingCount"].(float64)
		if status != http.StatusOK || !ok {
			return notRun("%s does not tell how many jobs wait", h.name)
		}
		if 2*int(count) < notBegun {
			v = broken("MIXED: %s gives %d as waitingCount; %d jobs were accepted over 5 s before and have not begun", h.name, int(count), notBegun)
		}
	}
	if trouble && time.Since(began) > busyFor {
		return notRun("the calls came too late")
	}
	if v.code == exitBroken {
		return v
	}
	for _, path := range paths {
		if state := d.hosts[0].awaitState(path, key, 30*time.Second, "completed"); state != "completed" {
			return notRun("a job is shown as %q", state)
		}
	}
	return held("the counts agree with what has begun")
}

// playKind lets the only worker of ten with a label come back as one of another kind, cut off from the
// store, right after it has answered a poll, and hands in a job that needs the label.
func playKind(d *deployment, trouble bool) verdict {
	const (
		key      = "key-a"
		path     = "/lohu930/5c0e7a21d94b36f8"
		id       = "5c0e7a21d94b36f8"
		downTime = 300 * time.Millisecond
		cutFor   = 4 * time.Second
		settled  = 5 * time.Second
	)
	d.putManifest([]fields{route("r-1", "/lohu930/", "icereport")}, []fields{service("icereport")}, []fields{tenant("kaje80", key)})
	if err := d.addWorkers(9, "i-", "icereport", "a"); err != nil {
		return notRun("%v", err)
	}
	if err := d.addWorkers(1, "i-b", "icereport", "b"); err != nil {
		return notRun("%v", err)
	}
	if err := d.startHosts(3); err != nil {
		return notRun("%v", err)
	}
	time.Sleep(settled)
	labelled := d.workers[len(d.workers)-1]
	if !labelled.awaitHold(10 * time.Second) {
		return notRun("the worker is not polled")
	}
	if trouble {
		if err := labelled.rebornAs("a", downTime); err != nil {
			return notRun("%v", err)
		}
		time.AfterFunc(cutFor, labelled.heal)
	}
	step := oneTask(time.Second)
	step["requires"] = "b"
	if !d.submit(path, key, job("work=1000", step)) {
		return notRun("the job is not accepted")
	}
	for deadline := time.Now().Add(12 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, w := range d.workers {
			switch starts := w.startsOf(id); {
			case len(starts) > 0 && w.labels[0] != "b":
				return broken("ROUTE: %s is started on worker %s, which has the labels %v; the step requires b", starts[0], w.id, w.labels)
			case len(starts) > 0:
				return held("%s is started on worker %s, which has the label", starts[0], w.id)
			}
		}
	}
	return held("no worker has the label, and no task is started")
}

// playLong hands in a task of an hour and counts how often it is started in 45 s, undisturbed. It is no
// case, because no rule of the users' pages forbids it.
func playLong(d *deployment, _ bool) verdict {
	const (
		key   = "key-a"
		path  = "/lohu930/5c0e7a21d94b36f8"
		id    = "5c0e7a21d94b36f8"
		watch = 45 * time.Second
	)
	d.putManifest([]fields{route("r-1", "/lohu930/", "icereport")}, []fields{service("icereport")}, []fields{tenant("kaje80", key)})
	if err := d.addWorkers(8, "i-", "icereport", "a"); err != nil {
		return notRun("%v", err)
	}
	if err := d.startHosts(3); err != nil {
		return notRun("%v", err)
	}
	if !d.submit(path, key, job("work=3600000", oneTask(time.Hour))) {
		return notRun("the job is not accepted")
	}
	time.Sleep(watch)
	starts := 0
	for _, w := range d.workers {
		starts += len(w.startsOf(id))
	}
	if starts > 1 {
		return broken("no rule: a sound task of an hour is started %d times in %s", starts, watch)
	}
	return held("the task is started %d times", starts)
}
