package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playSilent lets the open channels between the hosts and the store go silent, while new ones work, and
// adds a route. It asks each host for the route once the hosts are in touch again and the time within
// which the manifest has to be in force is over.
func playSilent(d *deployment, trouble bool) verdict {
	const (
		key       = "key-a"
		together  = 10 // submissions to a host at the same time
		settled   = 5 * time.Second
		contact   = 3 * time.Second // contactMs
		inForce   = 2 * time.Second // configMs
		ackAfter  = 300 * time.Millisecond
		callAfter = contact + 50*time.Millisecond
		rounds    = 4
		roundGap  = 100 * time.Millisecond
	)
	services, tenants := []fields{service("icereport")}, []fields{tenant("kaje80", key)}
	former := route("r-1", "/lohu930/", "icereport")
	added := route("r-2", "/pule252/", "icereport")
	d.putManifest([]fields{former}, services, tenants)
	if err := d.addWorkers(8, "i-", "icereport", "a"); err != nil {
		return notRun("%v", err)
	}
	if err := d.startHosts(3); err != nil {
		return notRun("%v", err)
	}
	time.Sleep(settled)
	var calls sync.WaitGroup
	for i := range together * len(d.hosts) {
		calls.Go(func() {
			d.hosts[i%len(d.hosts)].call(http.MethodPost, fmt.Sprintf("/lohu930/%016x", i+1), key, job("work=200", oneTask(200*time.Millisecond)))
		})
	}
	calls.Wait()
	time.Sleep(500 * time.Millisecond)
	silent := time.Now()
	if trouble {
		for _, h := range d.hosts {
			h.proxy.Freeze()
		}
		d.rec.note("the open channels between the hosts and the store go silent; new ones work")
	}
	time.Sleep(time.Until(silent.Add(ackAfter)))
	d.putVersion(9, []fields{former, added}, services, tenants)
	acked := time.Now()
	time.Sleep(time.Until(silent.Add(callAfter)))
	if time.Since(acked) <= inForce {
		return notRun("the call would come too early")
	}
	d.rec.note("%.2f s after the ack of version 9, %.2f s after the channels went silent", time.Since(acked).Seconds(), time.Since(silent).Seconds())
	refused := ""
	for round := range rounds {
		statuses := make([]int, len(d.hosts))
		for i, h := range d.hosts {
			calls.Go(func() {
				path := fmt.Sprintf("/pule252/%016x", 1000+100*round+i)
				statuses[i], _ = h.call(http.MethodPost, path, key, job("work=200", oneTask(200*time.Millisecond)))
			})
		}
		calls.Wait()
		for i, h := range d.hosts {
			if statuses[i] == http.StatusNotFound {
				refused = h.name
			}
		}
		time.Sleep(roundGap)
	}
	if refused != "" {
		return broken("CONFIG: %s refuses a submission with 404 although the route is there", refused)
	}
	return held("no host refuses the route")
}
