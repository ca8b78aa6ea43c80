package soak

import (
	"net/http"
	"time"
)

// checkAlive fails the test if a process has ended.
func (c *cluster) checkAlive() {
	c.t.Helper()
	for _, p := range c.hosts {
		p.mu.Lock()
		select {
		case <-p.done:
			c.t.Errorf("%s has ended", p.name)
		default:
		}
		p.mu.Unlock()
	}
}

// jobTimeout bounds the time until all accepted jobs are completed.
const jobTimeout = 40 * time.Second

// awaitCompletion waits until the job under each path is reported as completed.
func (c *cluster) awaitCompletion(paths []string) {
	c.t.Helper()
	deadline := time.Now().Add(jobTimeout)
	pending := paths
	for len(pending) > 0 && time.Now().Before(deadline) {
		var unfinished []string
		for i, path := range pending {
			host := c.hosts[i%len(c.hosts)]
			status, body := host.call(http.MethodGet, path, nil)
			if status == http.StatusGone {
				c.t.Errorf("%s returns status 410 for the accepted job %s", host.name, path)
			}
			if string(body) != `{"state":"completed"}` {
				unfinished = append(unfinished, path)
			}
		}
		pending = unfinished
		time.Sleep(200 * time.Millisecond)
	}
	for _, path := range pending {
		c.t.Errorf("job %s has not been completed within %s", path, jobTimeout)
	}
}
