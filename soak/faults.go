package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"balsamsail/internal/faultlink"
	"balsamsail/platform/standin"
)

const (
	second = time.Second
	ms     = time.Millisecond
	// restartPause is how long the platform takes to start a process that has ended.
	restartPause = 300 * ms
	// addressReuseDelay is how long after the end of an endpoint its address may be used by one of another service.
	addressReuseDelay = 2 * time.Second
	// addedPrefix begins the prefixes of the routes that are added and removed during the run.
	addedPrefix = "/added-"
)

// faults are the kinds of faults. Each is injected from outside the programs: by signals, on the network, or in the
// stand-ins.
var faults = []fault{
	{"gateway stopped", 4, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { s.plannedStop(s.gateway(pick)); return nil }},
	{"gateway killed", 4, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { s.kill(s.gateway(pick)); return nil }},
	{"gateway frozen", 4, 300 * ms, 5 * second, func(s *site, pick uint64, _ time.Duration) func() { return s.freeze(s.gateway(pick)) }},
	{"agent stopped", 3, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { s.plannedStop(s.agent(pick)); return nil }},
	{"agent killed", 3, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { s.kill(s.agent(pick)); return nil }},
	{"agent frozen", 4, 300 * ms, 5 * second, func(s *site, pick uint64, _ time.Duration) func() { return s.freeze(s.agent(pick)) }},
	{"all gateways killed", 1, 0, 0, func(s *site, _ uint64, _ time.Duration) func() { s.kill(s.gateways...); return nil }},
	{"all processes killed", 1, 0, 0, func(s *site, _ uint64, _ time.Duration) func() { s.kill(s.hosts()...); return nil }},
	{"all agents frozen", 1, 300 * ms, 3 * second, func(s *site, _ uint64, _ time.Duration) func() { return s.freeze(s.agents...) }},
	{"hang-up", 1, 0, 0, func(s *site, pick uint64, _ time.Duration) func() {
		s.gateway(pick).process.Signal(syscall.SIGHUP)
		return nil
	}},

	{"store down", 3, 200 * ms, 5 * second, func(s *site, _ uint64, _ time.Duration) func() {
		return s.storeFault(func(f *standin.StoreFaults) { f.Down = true })
	}},
	{"store down, registrations lapse", 2, second, 5 * second, func(s *site, _ uint64, _ time.Duration) func() {
		end := s.storeFault(func(f *standin.StoreFaults) { f.Down = true })
		s.store.ExpireRegistrations()
		return end
	}},
	{"store mute", 2, 200 * ms, 5 * second, func(s *site, _ uint64, _ time.Duration) func() {
		return s.storeFault(func(f *standin.StoreFaults) { f.Unresponsive = true })
	}},
	{"store slow", 2, second, 5 * second, func(s *site, _ uint64, _ time.Duration) func() {
		return s.storeFault(func(f *standin.StoreFaults) { f.Delay = 240 * ms })
	}},
	{"history dropped", 2, 0, 0, func(s *site, _ uint64, _ time.Duration) func() { s.store.DropHistory(); return nil }},

	{"way to the store reset", 2, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { s.gateway(pick).links[0].Reset(); return nil }},
	{"way to the store cut", 2, 300 * ms, 5 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.storeLink(pick, (*faultlink.Link).Cut)
	}},
	{"way to the store silent", 3, 300 * ms, 5 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.storeLink(pick, func(l *faultlink.Link) { l.Freeze(faultlink.Hold) })
	}},
	{"answers of the store lost", 2, 300 * ms, 5 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.storeLink(pick, func(l *faultlink.Link) { l.Block(faultlink.ToClient, faultlink.Drop) })
	}},

	{"way to an endpoint reset", 3, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { return s.hostLink(pick, (*faultlink.Link).Reset) }},
	{"way to an endpoint cut", 3, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.hostLink(pick, (*faultlink.Link).Cut)
	}},
	{"way to an endpoint silent", 3, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.hostLink(pick, func(l *faultlink.Link) { l.Freeze(faultlink.Hold) })
	}},
	{"requests to an endpoint lost", 2, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.hostLink(pick, func(l *faultlink.Link) { l.Block(faultlink.ToServer, faultlink.Drop) })
	}},
	{"answers of an endpoint lost", 2, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.hostLink(pick, func(l *faultlink.Link) { l.Block(faultlink.ToClient, faultlink.Drop) })
	}},
	{"way to an endpoint slow", 2, second, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.hostLink(pick, func(l *faultlink.Link) { l.SetThrottle(faultlink.Throttle{Delay: 80 * ms, BytesPerSecond: 32 << 10}) })
	}},
	{"answer broken off on its way", 3, second, 2 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.hostLink(pick, func(l *faultlink.Link) { l.CutAfter(faultlink.ToClient, int64(pick%2000)) })
	}},
	{"way to an agent cut", 2, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.agentLink(pick, (*faultlink.Link).Cut)
	}},
	{"way to an agent silent", 2, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.agentLink(pick, func(l *faultlink.Link) { l.Freeze(faultlink.Hold) })
	}},
	{"words of an agent lost", 2, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.agentLink(pick, func(l *faultlink.Link) { l.Block(faultlink.ToClient, faultlink.Drop) })
	}},

	{"endpoint crashed", 4, 200 * ms, 3 * second, func(s *site, pick uint64, _ time.Duration) func() { return s.crash(s.endpoint(pick)) }},
	{"endpoint restarted under its ID", 4, 100 * ms, 3 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.restartUnderID(s.endpoint(pick))
	}},
	{"rows of another writer", 2, second, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.writeForeignRows(s.endpoint(pick), pick/7)
	}},
	{"endpoint gone, still listed", 1, 3 * second, 5 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.crash(s.endpoint(pick))
	}},
	{"endpoint drained", 4, maxLeaveDelay + second, maxLeaveDelay + 3*second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.drain(s.endpoint(pick), true)
	}},
	{"endpoint leaves without a word", 2, maxLeaveDelay + second, maxLeaveDelay + 3*second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.drain(s.endpoint(pick), false)
	}},
	{"address used again by another service", 2, addressReuseDelay + second, addressReuseDelay + 4*second, func(s *site, pick uint64, duration time.Duration) func() {
		return s.reuseAddress(s.serviceHost(pick), duration)
	}},
	{"endpoint mute", 3, 300 * ms, 4 * second, endpointFault(func(f *standin.EndpointFaults) { f.Unresponsive = true })},
	{"endpoint slow", 3, second, 5 * second, endpointFault(func(f *standin.EndpointFaults) { f.Slow = 8 })},
	{"endpoint truncates answers", 2, second, 4 * second, endpointFault(func(f *standin.EndpointFaults) { f.Truncates = 0.5 })},
	{"endpoint repeats answers", 2, second, 4 * second, endpointFault(func(f *standin.EndpointFaults) { f.Repeats = 0.5 })},
	{"endpoint repeats answers on idle connections", 2, second, 4 * second, endpointFault(func(f *standin.EndpointFaults) { f.RepeatsIdle = 0.5 })},
	{"endpoint sheds and repeats answers", 3, second, 5 * second, endpointFault(func(f *standin.EndpointFaults) { f.Sheds, f.Repeats = 0.5, 0.5 })},
	// The engines hold most models once only, so that a rejected request returns to the engine that rejected it.
	{"every engine sheds and repeats answers", 2, 2 * second, 5 * second, engineFault(func(f *standin.EndpointFaults) { f.Sheds, f.Repeats = 0.5, 0.9 })},
	{"endpoint sheds", 3, second, 5 * second, endpointFault(func(f *standin.EndpointFaults) { f.Sheds = 0.9 })},
	{"endpoint names a limit", 4, limitGrace + limitWindow, limitGrace + 2*limitWindow, func(s *site, pick uint64, _ time.Duration) func() {
		return s.nameLimit(s.endpoint(pick), float64(1+pick/11%4))
	}},
	{"request that ends endpoints", 3, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { s.sendEnding(pick); return nil }},
	{"requests with a part that ends endpoints", 3, 12 * second, 18 * second, func(s *site, pick uint64, _ time.Duration) func() { return s.sendBadParts(pick) }},
	{"connections skewed", 3, 4 * second, 8 * second, func(s *site, pick uint64, _ time.Duration) func() { return s.skew(pick) }},
	{"clients that do not behave", 3, second, 6 * second, func(s *site, pick uint64, _ time.Duration) func() { return s.sendCrowd(s.gateway(pick)) }},
	{"endpoint ends answers with their connection", 3, second, 5 * second, endpointFault(func(f *standin.EndpointFaults) { f.Unframed = 0.7 })},
	{"endpoint ends answers with their connection, some of them early", 2, second, 4 * second, endpointFault(func(f *standin.EndpointFaults) { f.Unframed, f.Truncates = 0.7, 0.4 })},
	{"endpoint sends heads that are not valid", 2, second, 4 * second, endpointFault(func(f *standin.EndpointFaults) { f.Invalid = 0.5 })},
	{"orders late", 3, second, 5 * second, endpointFault(func(f *standin.EndpointFaults) { f.LateOrders = 0.5 })},

	{"configuration changed", 5, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { s.reconfigure(pick); return nil }},
	{"storm of configurations", 1, 0, 0, func(s *site, pick uint64, _ time.Duration) func() {
		for i := range uint64(8) {
			s.reconfigure(pick + i)
		}
		return nil
	}},
}

func (s *site) gateway(pick uint64) *host          { return s.gateways[pick%uint64(len(s.gateways))] }
func (s *site) agent(pick uint64) *host            { return s.agents[pick%uint64(len(s.agents))] }
func (s *site) endpoint(pick uint64) *endpointHost { return s.endpoints[pick%uint64(len(s.endpoints))] }

// serviceHost returns a host that runs an endpoint of a plain service.
func (s *site) serviceHost(pick uint64) *endpointHost {
	services := s.endpoints[len(s.agents):]
	return services[pick%uint64(len(services))]
}

// plannedStop sends SIGTERM to a process, waits for its exit and starts it again. After the grace period it is killed.
func (s *site) plannedStop(h *host) {
	if !s.claimRestart(h) {
		return
	}
	end := s.checker.beginFault(plannedStopOf(h.name))
	go func() {
		defer s.releaseRestart(h)
		defer end()
		h.process.Signal(syscall.SIGTERM)
		select {
		case <-h.process.Exited():
			s.checkCleanStop(h)
		case <-time.After(grace):
			s.checker.beginFault(h.name)()
			h.process.Kill()
		}
		s.restart(h)
	}()
}

// checkCleanStop checks how a process has ended that was told to stop. The signal itself ends one that does not handle signals yet;
// it does not listen then, which is the first thing that it reports.
func (s *site) checkCleanStop(h *host) {
	err := h.process.ExitError()
	if err == nil || s.killedDuringRestart(h) || h.process.EndedBeforeOutput(syscall.SIGTERM) {
		return
	}
	s.checker.addViolation("clean stop", "%s exited with %v after SIGTERM", h.name, err)
}

// kill kills processes and starts them again.
func (s *site) kill(hosts ...*host) {
	for _, h := range hosts {
		end := s.checker.beginFault(h.name)
		// Claimed first: a process that exits while nobody restarts it counts as one that ended by itself.
		claimed := s.claimRestart(h)
		s.recordKill(h)
		h.process.Kill()
		if !claimed {
			// A planned stop or another kill is in progress and will restart the process.
			end()
			continue
		}
		go func() {
			defer s.releaseRestart(h)
			defer end()
			s.restart(h)
		}()
	}
}

func (s *site) restart(h *host) {
	time.Sleep(restartPause)
	s.recordStart(h)
	if err := h.process.Start(); err != nil {
		s.checker.addViolation("start", "%s: %v", h.name, err)
	}
}

// freeze suspends processes; the function that it returns resumes them.
func (s *site) freeze(hosts ...*host) func() {
	var ends []func()
	for _, h := range hosts {
		ends = append(ends, s.checker.beginFault(h.name))
		h.process.Signal(syscall.SIGSTOP)
	}
	return func() {
		for i, h := range hosts {
			h.process.Signal(syscall.SIGCONT)
			ends[i]()
		}
	}
}

func (s *site) storeFault(change func(*standin.StoreFaults)) func() {
	end := s.checker.beginFault(storeTarget)
	s.store.SetFaults(change)
	return func() {
		s.store.SetFaults(func(f *standin.StoreFaults) { *f = standin.StoreFaults{} })
		end()
	}
}

// disruptLink applies a fault to a link; the function that it returns heals the link.
func (s *site) disruptLink(l *faultlink.Link, apply func(*faultlink.Link), targets ...string) func() {
	end := s.checker.beginFault(targets...)
	apply(l)
	return func() {
		if err := l.Heal(); err != nil {
			s.checker.addViolation("soak itself", "heal the link at %s: %v", l.Address(), err)
		}
		s.throttleSlowStorePath()
		end()
	}
}

func (s *site) storeLink(pick uint64, apply func(*faultlink.Link)) func() {
	h := s.gateway(pick)
	return s.disruptLink(h.links[0], apply, storeLinkOf(h.name))
}

// hostLink disrupts the link to an endpoint.
func (s *site) hostLink(pick uint64, apply func(*faultlink.Link)) func() {
	p := s.endpoint(pick)
	return s.disruptLink(p.link, apply, p.name)
}

func (s *site) agentLink(pick uint64, apply func(*faultlink.Link)) func() {
	h := s.agent(pick)
	return s.disruptLink(h.links[0], apply, h.name)
}

// crash stops an endpoint and leaves its registration; the function that it returns starts its next incarnation.
func (s *site) crash(p *endpointHost) func() {
	end := s.checker.beginFault(p.name)
	p.stopEndpoint(false)
	return func() {
		defer end()
		s.startIfStopped(p, p.service, "")
	}
}

// restartUnderID stops an endpoint without notice; the returned function starts it again under the same ID.
func (s *site) restartUnderID(p *endpointHost) func() {
	// The host may run an endpoint of another service meanwhile; an ID never changes its service.
	id, service := "", p.service
	p.withEndpoint(func(e *standin.Endpoint) { id, service = e.ID, e.Service() })
	end := s.checker.beginFault(p.name)
	p.stopEndpoint(false)
	return func() {
		defer end()
		s.startIfStopped(p, service, id)
	}
}

// maxRowBytes is the length of a value that the platform's store takes, and foreignRows the number of rows that another writer writes.
const (
	maxRowBytes = 64 << 10
	foreignRows = 40
)

// writeForeignRows writes rows that no endpoint writes: under keys of their own, and over the registration of an endpoint, which writes
// it again at its next heartbeat.
func (s *site) writeForeignRows(p *endpointHost, pick uint64) func() {
	rows := slices.DeleteFunc(standin.ForeignRegistrations(p.service, p.listed), func(r standin.ForeignRow) bool { return len(r.Value) > maxRowBytes })
	rows = append(rows, standin.RegistrationWithoutStart(p.service, p.listed))
	keys := make([]string, 0, foreignRows)
	end := s.checker.beginFault(p.name)
	p.withEndpoint(func(e *standin.Endpoint) {
		s.store.PutBytes(standin.EndpointTable, e.ID, rows[pick%uint64(len(rows))].Value)
	})
	for i := range uint64(foreignRows) {
		key := fmt.Sprintf("foreign-%d", i)
		keys = append(keys, key)
		s.store.PutBytes(standin.EndpointTable, key, rows[(pick+i)%uint64(len(rows))].Value)
	}
	return func() {
		defer end()
		for _, key := range keys {
			s.store.Remove(standin.EndpointTable, key)
		}
	}
}

// nameLimit makes an endpoint name a limit, in requests per second, until the returned function is called.
func (s *site) nameLimit(p *endpointHost, perSecond float64) func() {
	id := ""
	p.withEndpoint(func(e *standin.Endpoint) {
		id = e.ID
		e.SetFaults(func(f *standin.EndpointFaults) { f.Limit = perSecond })
		s.checker.recordLimit(id, perSecond)
	})
	return func() {
		p.withEndpoint(func(e *standin.Endpoint) {
			if e.ID == id {
				e.SetFaults(func(f *standin.EndpointFaults) { f.Limit = 0 })
			}
		})
		s.checker.recordLimit(id, 0)
	}
}

// startIfStopped starts an endpoint on a host unless one is running there.
func (s *site) startIfStopped(p *endpointHost, service, id string) {
	stopped := true
	p.withEndpoint(func(*standin.Endpoint) { stopped = false })
	if !stopped {
		return
	}
	if err := s.startEndpoint(p, service, id); err != nil {
		s.checker.addViolation("soak itself", "start %s: %v", p.name, err)
	}
}

// drain makes an endpoint leave: it either announces that it is draining, or its registration is removed without notice. The
// endpoint goes on serving until the returned function stops it and starts the next incarnation.
func (s *site) drain(p *endpointHost, announce bool) func() {
	id := ""
	p.withEndpoint(func(e *standin.Endpoint) {
		if announce && e.Drain() || !announce && e.Unregister() {
			id = e.ID
		}
	})
	if id != "" {
		s.checker.recordLeaving(id)
	}
	return func() {
		end := s.checker.beginFault(p.name)
		defer end()
		p.stopEndpoint(true)
		s.startIfStopped(p, p.service, "")
	}
}

// reuseAddress stops a plain service's endpoint and, after addressReuseDelay, starts one of another service at its address.
// The returned function restores the original service.
func (s *site) reuseAddress(p *endpointHost, duration time.Duration) func() {
	end := s.checker.beginFault(p.name)
	p.stopEndpoint(true)
	other := ledgerService
	if p.service == ledgerService {
		other = padsService
	}
	if duration > addressReuseDelay {
		time.AfterFunc(addressReuseDelay, func() { s.startIfStopped(p, other, "") })
	}
	return func() {
		defer end()
		p.stopEndpoint(true)
		time.Sleep(addressReuseDelay)
		s.startIfStopped(p, p.service, "")
	}
}

// endpointFault returns a fault that makes an endpoint misbehave.
func endpointFault(change func(*standin.EndpointFaults)) func(*site, uint64, time.Duration) func() {
	return func(s *site, pick uint64, _ time.Duration) func() { return s.misbehave(change, s.endpoint(pick)) }
}

// engineFault returns a fault that makes all engines misbehave.
func engineFault(change func(*standin.EndpointFaults)) func(*site, uint64, time.Duration) func() {
	return func(s *site, _ uint64, _ time.Duration) func() {
		return s.misbehave(change, s.endpoints[:len(s.agents)]...)
	}
}

// misbehave makes endpoints misbehave until the returned function is called.
func (s *site) misbehave(change func(*standin.EndpointFaults), hosts ...*endpointHost) func() {
	var ends []func()
	for _, p := range hosts {
		ends = append(ends, s.checker.beginFault(p.name))
		p.withEndpoint(func(e *standin.Endpoint) { e.SetFaults(change) })
	}
	return func() {
		for i, p := range hosts {
			p.withEndpoint(func(e *standin.Endpoint) {
				// The limit ends with its own fault, by which the checker knows it.
				e.SetFaults(func(f *standin.EndpointFaults) { *f = standin.EndpointFaults{Limit: f.Limit} })
			})
			ends[i]()
		}
	}
}

// reconfigure removes the oldest added route if pick is even and there is one, and adds a route otherwise.
func (s *site) reconfigure(pick uint64) {
	config, when, ok := s.operator.Change(func(c *standin.Config) {
		var added []int
		for i, r := range c.Routes {
			if len(r.Prefix) > len(addedPrefix) && r.Prefix[:len(addedPrefix)] == addedPrefix {
				added = append(added, i)
			}
		}
		if len(added) > 0 && pick%2 == 0 {
			c.Routes = append(c.Routes[:added[0]], c.Routes[added[0]+1:]...)
			return
		}
		prefix := fmt.Sprintf("%s%d/", addedPrefix, c.Version)
		c.Routes = append(c.Routes, standin.Route{
			Name: prefix, Host: siteHost, Prefix: prefix, Type: standin.RouteSafe, TimeoutMS: 2000, TargetLatencyMS: 300, Service: padsService, MaxAttempts: 2,
		})
	})
	if ok {
		s.checker.recordConfig(config, when)
	}
}
