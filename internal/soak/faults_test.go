package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/faultproxy"
	"github.com/daisyfold/daisyfold/internal/standin"
	"github.com/daisyfold/daisyfold/platform"
)

// hostFault is a fault of a host's process. to is zero until it ends.
type hostFault struct {
	what     string
	from, to time.Time
}

// startTime is how long a process that was started counts as disturbed.
const startTime = 3 * time.Second

// beginFault records a fault of the process and returns a function that records its end.
func (p *process) beginFault(what string) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := len(p.faults)
	p.faults = append(p.faults, hostFault{what: what, from: time.Now()})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.faults[i].to = time.Now()
	}
}

// faultDuring returns a fault of the process in the given time, or "".
func (p *process) faultDuring(from, to time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.faults {
		if f.from.Before(to) && (f.to.IsZero() || f.to.After(from)) {
			return f.what
		}
	}
	return ""
}

// stop kills or terminates a host's process and starts it again after downTime.
func (s *soakRun) stop(p *process, signal syscall.Signal, downTime time.Duration) {
	end := p.beginFault(signal.String())
	done := p.signal(signal)
	s.wg.Go(func() {
		s.restart(p, done, downTime)
		time.Sleep(startTime)
		end()
	})
}

// freeze suspends a process for d, or slows it down if share of the time is left to it.
func (s *soakRun) freeze(p *process, d time.Duration, share float64) {
	end := p.beginFault("freeze")
	const period = 100 * time.Millisecond
	s.wg.Go(func() {
		for stop := time.Now().Add(d); time.Now().Before(stop); {
			p.signal(syscall.SIGSTOP)
			if share == 0 {
				time.Sleep(time.Until(stop))
				break
			}
			time.Sleep(time.Duration((1 - share) * float64(period)))
			p.signal(syscall.SIGCONT)
			time.Sleep(time.Duration(share * float64(period)))
		}
		p.signal(syscall.SIGCONT)
		end()
	})
}

// during applies a fault of the store, the workers or the operator, and ends it after d.
func (s *soakRun) during(what string, d time.Duration, end func()) {
	ended := s.storeState.beginFault(what)
	s.wg.Go(func() {
		time.Sleep(d)
		end()
		ended()
	})
}

// someHosts returns the owner or random hosts, at most a third of all.
func (s *soakRun) someHosts(rng *rand.Rand) []*process {
	if rng.IntN(2) == 0 {
		return []*process{s.owner()}
	}
	var hosts []*process
	for _, i := range rng.Perm(len(s.hosts))[:1+rng.IntN(max(len(s.hosts)/3, 1))] {
		hosts = append(hosts, s.hosts[i])
	}
	return hosts
}

// zoneHosts returns the hosts of a random zone.
func (s *soakRun) zoneHosts(rng *rand.Rand) []*process {
	var hosts []*process
	zone := fmt.Sprintf("zone-%d", rng.IntN(zoneCount))
	for _, p := range s.hosts {
		if p.zone == zone {
			hosts = append(hosts, p)
		}
	}
	return hosts
}

// someWorkers returns the numbers of random workers, sometimes of up to half of them.
func (s *soakRun) someWorkers(rng *rand.Rand) []int {
	most := max(len(s.workers)/7, 1)
	if rng.IntN(5) == 0 {
		most = max(len(s.workers)/2, 1)
	}
	return rng.Perm(len(s.workers))[:1+rng.IntN(most)]
}

// randomFault starts a random fault, which ends by itself, and returns its name.
func (s *soakRun) randomFault(rng *rand.Rand) string {
	d := time.Second + time.Duration(rng.IntN(5000))*time.Millisecond
	faults := []struct {
		name string
		run  func()
	}{
		{"kill", func() { s.stopAll(s.someHosts(rng), syscall.SIGKILL, d/2) }},
		{"kill all", func() { s.stopAll(s.hosts, syscall.SIGKILL, d/2) }},
		{"term", func() { s.stopAll(s.someHosts(rng), syscall.SIGTERM, d/4) }},
		{"freeze", func() { s.freezeAll(s.someHosts(rng), d, 0) }},
		{"slow", func() { s.freezeAll(s.someHosts(rng), d, 0.2) }},
		{"hup", func() { s.signalAll(s.someHosts(rng), syscall.SIGHUP) }},
		{"cut", func() { s.disturbPaths(s.someHosts(rng), d, (*faultproxy.Proxy).Cut) }},
		{"drop", func() {
			direction := []faultproxy.Direction{faultproxy.ToServer, faultproxy.ToClient}[rng.IntN(2)]
			s.disturbPaths(s.someHosts(rng), d, func(p *faultproxy.Proxy) { p.Drop(direction) })
		}},
		{"zone cut", func() { s.disturbPaths(s.zoneHosts(rng), d, (*faultproxy.Proxy).Cut) }},
		{"silent connections", func() { s.disturbPaths(s.someHosts(rng), d, (*faultproxy.Proxy).Freeze) }},
		{"reset connections", func() { s.disturbPaths(s.hosts, d, (*faultproxy.Proxy).Reset) }},
		{"store loses answers", func() { s.storeFault(d, standin.StoreFaults{LostRate: 0.35}) }},
		{"store late", func() { s.storeFault(d, standin.StoreFaults{LateRate: 0.35}) }},
		{"store refuses", func() { s.storeFault(d, standin.StoreFaults{Refuse: true}) }},
		{"store silent", func() { s.storeFault(d, standin.StoreFaults{Down: true}) }},
		{"store slow", func() { s.storeFault(d, standin.StoreFaults{ExtraLatency: 230 * time.Millisecond}) }},
		{"store refuses some", func() { s.refuseSome(s.someHosts(rng), d) }},
		{"rate limits", func() {
			s.limits.Set(float64(5+rng.IntN(50)), float64(20+rng.IntN(200)))
			s.during("rate limits", d, func() { s.limits.Set(writesPerSecond, readsPerSecond) })
		}},
		{"history gone", func() {
			for _, topic := range []string{replica.TopicJobs, replica.TopicStatuses, replica.TopicRuns, platform.TopicWorkers, platform.TopicOperator} {
				s.store.Compact(topic)
			}
			if rng.IntN(2) == 0 {
				s.store.Rebalance("scheduler")
			}
		}},
		{"manifest", func() { s.changeManifest(rng) }},
		{"zone out", func() { s.zoneOut(fmt.Sprintf("zone-%d", rng.IntN(zoneCount)), d) }},
		{"workers crash", func() { s.crashWorkers(rng, d) }},
		{"workers leave", func() { s.removeWorkers(rng, d) }},
		{"workers fail", func() { s.disturbWorkers(rng, d, (*standin.Worker).SetFailing) }},
		{"workers hang", func() { s.disturbWorkers(rng, d, (*standin.Worker).SetStalled) }},
		{"workers cut off", func() {
			for _, i := range s.someWorkers(rng) {
				s.fleet.SetUnreachable("", workerID(i), true)
				s.during("workers cut off", d, func() { s.fleet.SetUnreachable("", workerID(i), false) })
			}
		}},
		{"orders late", func() {
			s.fleet.SetOrderFaults(0.05, 0.05)
			s.during("orders late", d, func() { s.fleet.SetOrderFaults(0, 0) })
		}},
	}
	f := faults[rng.IntN(len(faults))]
	f.run()
	return f.name
}

func (s *soakRun) stopAll(hosts []*process, signal syscall.Signal, downTime time.Duration) {
	for _, p := range hosts {
		s.stop(p, signal, downTime)
	}
}

func (s *soakRun) freezeAll(hosts []*process, d time.Duration, share float64) {
	for _, p := range hosts {
		s.freeze(p, d, share)
	}
}

func (s *soakRun) signalAll(hosts []*process, signal syscall.Signal) {
	for _, p := range hosts {
		p.signal(signal)
	}
}

func (s *soakRun) disturbPaths(hosts []*process, d time.Duration, f func(*faultproxy.Proxy)) {
	for _, p := range hosts {
		f(p.proxy)
		s.during("paths", d, p.proxy.Restore)
	}
}

func (s *soakRun) storeFault(d time.Duration, f standin.StoreFaults) {
	s.store.SetFaults(f)
	s.during("store", d, func() { s.store.SetFaults(standin.StoreFaults{}) })
}

func (s *soakRun) refuseSome(hosts []*process, d time.Duration) {
	for _, p := range hosts {
		s.store.SetHostFaults(p.name, standin.StoreFaults{Refuse: true})
		s.during("store refuses some", d, func() { s.store.SetHostFaults(p.name, standin.StoreFaults{}) })
	}
}

// changeManifest writes the next version, in which a second key comes or goes.
func (s *soakRun) changeManifest(rng *rand.Rand) {
	s.manifestVersion += 1 + int64(rng.IntN(3))
	s.putManifest(testManifest(s.manifestVersion, []string{"second"}[:rng.IntN(2)]...))
}

func (s *soakRun) zoneOut(zone string, d time.Duration) {
	key := "evacuate/" + zone
	s.setZoneOut(zone, true)
	s.store.Put(platform.TopicOperator, store.Record{Key: key, Value: []byte("{}")})
	s.during("zone out", d, func() {
		s.store.Put(platform.TopicOperator, store.Record{Key: key})
		s.setZoneOut(zone, false)
	})
}

func (s *soakRun) setZoneOut(zone string, out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zonesOut[zone] = out
}

func (s *soakRun) crashWorkers(rng *rand.Rand, d time.Duration) {
	for _, i := range s.someWorkers(rng) {
		w := s.workers[i]
		if rng.IntN(2) == 0 {
			w.Restart()
			continue
		}
		w.Crash()
		s.during("workers crash", d, w.Restart)
	}
}

// removeWorkers announces that workers leave, and starts them again later.
func (s *soakRun) removeWorkers(rng *rand.Rand, d time.Duration) {
	for _, i := range s.someWorkers(rng) {
		w := s.workers[i]
		if rng.IntN(2) == 0 {
			w.Drain(d / 2)
		} else {
			w.CrashAfterNotice(d / 2)
		}
		s.during("workers leave", d, w.Restart)
	}
}

func (s *soakRun) disturbWorkers(rng *rand.Rand, d time.Duration, set func(*standin.Worker, bool)) {
	for _, i := range s.someWorkers(rng) {
		w := s.workers[i]
		set(w, true)
		s.during("workers", d, func() { set(w, false) })
	}
}
