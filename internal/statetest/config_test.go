package statetest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/journal"
)

// TestConfigReachesAllHosts guards against a version that takes more than 3 s to be in
// force on all 8 hosts, two of which cannot reach the log, and against a return to an
// older version.
func TestConfigReachesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, *seedFlag, 2)
		defer c.close()
		c.publishFirstVersion()
		c.disconnectLog("brest")
		var longest time.Duration
		for i := range 20 {
			begin := time.Now()
			v, err := c.host(2+i%6).sync.Publish(context.Background(), fmt.Sprint(i), int64(1+i), configText(fmt.Sprint(i)))
			if err != nil {
				t.Fatal(err)
			}
			for !c.inForceEverywhere(v) {
				time.Sleep(10 * time.Millisecond)
				if time.Since(begin) > 3*time.Second {
					t.Fatalf("version %d is not in force on all hosts after 3 s", v)
				}
			}
			longest = max(longest, time.Since(begin))
		}
		t.Logf("20 versions, 2 of 8 hosts without the log: in force on all hosts within %v", longest)
	})
}

// appendEdit appends an edit as a host does that has not read the latest records, and
// waits until the other hosts have read it.
func (c *cluster) appendEdit(id string, base int64) {
	r, err := journal.NewRecord(journal.KindConfigEdit, "behind", fmt.Sprintf("behind/%s/%d", id, base), time.Now(),
		journal.ConfigEdit{ID: "text/" + id, BaseVersion: base, Text: configText(id)})
	if err == nil {
		_, err = c.host(0).journal.Append(context.Background(), journal.StreamConfig, r)
	}
	if err != nil {
		c.t.Error(err)
	}
	time.Sleep(time.Second)
}

// inForceEverywhere reports whether all running hosts have the version in force.
func (c *cluster) inForceEverywhere(version int64) bool {
	for _, p := range c.peers {
		if h := c.hosts[p.Host]; h != nil && h.sync.ConfigVersion() != version {
			return false
		}
	}
	return true
}

// errorCode returns the code of an API error, or an empty code.
func errorCode(err error) apierror.Code {
	var e *apierror.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// TestEmptyHostAfterRetention guards against hosts that disagree after the first
// records have expired from the log. A host of the cluster and one that was cut off
// meanwhile start with empty memory. They must reach the version of the others, accept
// the same next edit and not accept a repeated id again.
func TestEmptyHostAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		c.publishFirstVersion()
		isolated := c.peers[7]
		c.disconnectLog(isolated.Zone)
		c.isolateZone(isolated.Zone)
		for i := range 5 {
			if _, err := c.host(1).sync.Publish(context.Background(), fmt.Sprint(i), int64(1+i), configText(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * testRetention)
		c.kill(isolated.Host)
		c.kill(c.peers[2].Host)
		c.endFaults()
		c.start(isolated)
		c.start(c.peers[2])
		time.Sleep(4 * time.Second)
		if !c.inForceEverywhere(6) {
			t.Error("not all hosts reached version 6")
		}
		v, err := c.hosts[isolated.Host].sync.Publish(context.Background(), "4", 5, configText("4"))
		if err != nil || v != 6 {
			t.Errorf("repeated id at a restarted host: version %d, %v; want 6", v, err)
		}
		c.appendEdit("4", 6)
		if !c.inForceEverywhere(6) {
			t.Error("a repeated id with a new base version was accepted")
		}
		if _, err := c.hosts[isolated.Host].sync.Publish(context.Background(), "next", 6, configText("next")); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if !c.inForceEverywhere(7) {
			t.Error("not all hosts reached version 7")
		}
	})
}

// TestNoConfiguration guards against a host without configuration that starts tasks,
// changes zones or appends a text that does not parse.
func TestNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		h := c.host(0)
		if h.board.Config.Get() != nil {
			t.Error("a host has a configuration before the first one is published")
		}
		if ok, why := h.checker.Check(h.Zone); ok || why != "no configuration" {
			t.Errorf("check = %t, %q", ok, why)
		}
		if _, _, err := h.sync.SetZone(context.Background(), "x", h.Zone, false); errorCode(err) != apierror.CodeNoConfiguration {
			t.Errorf("zone out without configuration: %v", err)
		}
		if _, err := h.sync.Publish(context.Background(), "x", 0, []byte("{")); errorCode(err) != apierror.CodeBadInput {
			t.Errorf("text that does not parse: %v", err)
		}
		if c.log.Len("config") != 0 {
			t.Error("a rejected text was appended to the log")
		}
	})
}
