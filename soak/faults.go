package main

import (
	"fmt"
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
	// reuseAfter is when the address of an endpoint that is gone may be used by one of another service.
	reuseAfter = 2 * time.Second
	// addedPrefix begins the prefixes of the routes that come and go.
	addedPrefix = "/added-"
)

// faults are the kinds of faults. Each befalls the programs from outside: by signals, on the network, at the stand-ins.
var faults = []fault{
	{"gateway stopped", 4, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { s.planned(s.gateway(pick)); return nil }},
	{"gateway killed", 4, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { s.kill(s.gateway(pick)); return nil }},
	{"gateway frozen", 4, 300 * ms, 5 * second, func(s *site, pick uint64, _ time.Duration) func() { return s.freeze(s.gateway(pick)) }},
	{"agent stopped", 3, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { s.planned(s.agent(pick)); return nil }},
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
		s.store.Lapse()
		return end
	}},
	{"store mute", 2, 200 * ms, 5 * second, func(s *site, _ uint64, _ time.Duration) func() {
		return s.storeFault(func(f *standin.StoreFaults) { f.Mute = true })
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
		return s.storeLink(pick, func(l *faultlink.Link) { l.Block(faultlink.ToClient, faultlink.Vanish) })
	}},

	{"way to an endpoint reset", 3, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { return s.placeLink(pick, (*faultlink.Link).Reset) }},
	{"way to an endpoint cut", 3, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.placeLink(pick, (*faultlink.Link).Cut)
	}},
	{"way to an endpoint silent", 3, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.placeLink(pick, func(l *faultlink.Link) { l.Freeze(faultlink.Hold) })
	}},
	{"requests to an endpoint lost", 2, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.placeLink(pick, func(l *faultlink.Link) { l.Block(faultlink.ToServer, faultlink.Vanish) })
	}},
	{"answers of an endpoint lost", 2, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.placeLink(pick, func(l *faultlink.Link) { l.Block(faultlink.ToClient, faultlink.Vanish) })
	}},
	{"way to an endpoint slow", 2, second, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.placeLink(pick, func(l *faultlink.Link) { l.SetSlow(faultlink.Slowness{Delay: 80 * ms, BytesPerSecond: 32 << 10}) })
	}},
	{"answer broken off on its way", 3, second, 2 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.placeLink(pick, func(l *faultlink.Link) { l.CutAfter(faultlink.ToClient, int64(pick%2000)) })
	}},
	{"way to an agent cut", 2, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.agentLink(pick, (*faultlink.Link).Cut)
	}},
	{"way to an agent silent", 2, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.agentLink(pick, func(l *faultlink.Link) { l.Freeze(faultlink.Hold) })
	}},
	{"words of an agent lost", 2, 300 * ms, 4 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.agentLink(pick, func(l *faultlink.Link) { l.Block(faultlink.ToClient, faultlink.Vanish) })
	}},

	{"endpoint crashed", 4, 200 * ms, 3 * second, func(s *site, pick uint64, _ time.Duration) func() { return s.crash(s.place(pick)) }},
	{"endpoint gone, still listed", 1, 3 * second, 5 * second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.crash(s.place(pick))
	}},
	{"endpoint drained", 4, leaveBound + second, leaveBound + 3*second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.drain(s.place(pick), true)
	}},
	{"endpoint leaves without a word", 2, leaveBound + second, leaveBound + 3*second, func(s *site, pick uint64, _ time.Duration) func() {
		return s.drain(s.place(pick), false)
	}},
	{"address used again by another service", 2, reuseAfter + second, reuseAfter + 4*second, func(s *site, pick uint64, lasts time.Duration) func() {
		return s.reuse(s.plainPlace(pick), lasts)
	}},
	{"endpoint mute", 3, 300 * ms, 4 * second, endpointFault(func(f *standin.EndpointFaults) { f.Mute = true })},
	{"endpoint slow", 3, second, 5 * second, endpointFault(func(f *standin.EndpointFaults) { f.Slow = 8 })},
	{"endpoint truncates answers", 2, second, 4 * second, endpointFault(func(f *standin.EndpointFaults) { f.Truncates = 0.5 })},
	{"endpoint repeats answers", 2, second, 4 * second, endpointFault(func(f *standin.EndpointFaults) { f.Repeats = 0.5 })},
	{"endpoint sheds", 3, second, 5 * second, endpointFault(func(f *standin.EndpointFaults) { f.Sheds = 0.9 })},
	{"orders late", 3, second, 5 * second, endpointFault(func(f *standin.EndpointFaults) { f.LateOrders = 0.5 })},

	{"configuration changed", 5, 0, 0, func(s *site, pick uint64, _ time.Duration) func() { s.reconfigure(pick); return nil }},
	{"storm of configurations", 1, 0, 0, func(s *site, pick uint64, _ time.Duration) func() {
		for i := range uint64(8) {
			s.reconfigure(pick + i)
		}
		return nil
	}},
}

func (s *site) gateway(pick uint64) *host { return s.gateways[pick%uint64(len(s.gateways))] }
func (s *site) agent(pick uint64) *host   { return s.agents[pick%uint64(len(s.agents))] }
func (s *site) place(pick uint64) *place  { return s.places[pick%uint64(len(s.places))] }

// plainPlace is one on which a plain service runs.
func (s *site) plainPlace(pick uint64) *place {
	plain := s.places[len(s.agents):]
	return plain[pick%uint64(len(plain))]
}

// planned tells a process to stop, waits for it, and starts it again.
func (s *site) planned(h *host) {
	if !s.take(h) {
		return
	}
	end := s.judge.disturb(stopOf(h.name))
	go func() {
		defer s.give(h)
		defer end()
		h.process.Signal(syscall.SIGTERM)
		select {
		case <-h.process.Exited():
			if err := h.process.ExitError(); err != nil && !s.killedSince(h) {
				s.judge.Violate("clean stop", "%s, told to stop, ended with %v", h.name, err)
			}
		case <-time.After(grace):
			s.judge.disturb(h.name)()
			h.process.Kill()
		}
		s.startAgain(h)
	}()
}

// kill ends processes at once and starts them again.
func (s *site) kill(hosts ...*host) {
	for _, h := range hosts {
		end := s.judge.disturb(h.name)
		s.noteKill(h)
		h.process.Kill()
		if !s.take(h) {
			// A planned stop is under way and starts it again.
			end()
			continue
		}
		go func() {
			defer s.give(h)
			defer end()
			s.startAgain(h)
		}()
	}
}

func (s *site) startAgain(h *host) {
	time.Sleep(restartPause)
	s.noteStart(h)
	if err := h.process.Start(); err != nil {
		s.judge.Violate("start", "%s: %v", h.name, err)
	}
}

// freeze suspends processes; the function that it returns lets them go on.
func (s *site) freeze(hosts ...*host) func() {
	var ends []func()
	for _, h := range hosts {
		ends = append(ends, s.judge.disturb(h.name))
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
	end := s.judge.disturb(storeSubject)
	s.store.SetFaults(change)
	return func() {
		s.store.SetFaults(func(f *standin.StoreFaults) { *f = standin.StoreFaults{} })
		end()
	}
}

// spoil harms a link; the function that it returns heals it.
func (s *site) spoil(l *faultlink.Link, harm func(*faultlink.Link), subjects ...string) func() {
	end := s.judge.disturb(subjects...)
	harm(l)
	return func() {
		if err := l.Heal(); err != nil {
			s.judge.Violate("soak itself", "the link at %s does not heal: %v", l.Address(), err)
		}
		end()
	}
}

func (s *site) storeLink(pick uint64, harm func(*faultlink.Link)) func() {
	h := s.gateway(pick)
	return s.spoil(h.links[0], harm, storeOf(h.name))
}

func (s *site) placeLink(pick uint64, harm func(*faultlink.Link)) func() {
	p := s.place(pick)
	return s.spoil(p.link, harm, p.name)
}

func (s *site) agentLink(pick uint64, harm func(*faultlink.Link)) func() {
	h := s.agent(pick)
	return s.spoil(h.links[0], harm, h.name)
}

// crash ends an endpoint without a word; the function that it returns starts its next incarnation.
func (s *site) crash(p *place) func() {
	end := s.judge.disturb(p.name)
	p.crash(false)
	return func() {
		defer end()
		s.startIfGone(p, p.service)
	}
}

// startIfGone starts an endpoint at a place unless one runs there.
func (s *site) startIfGone(p *place, service string) {
	gone := true
	p.with(func(*standin.Endpoint) { gone = false })
	if !gone {
		return
	}
	if err := s.startEndpoint(p, service); err != nil {
		s.judge.Violate("soak itself", "%s does not start: %v", p.name, err)
	}
}

// drain lets an endpoint leave: it says so, or its registration just goes. It serves on until the function that is returned
// ends it and starts the next incarnation.
func (s *site) drain(p *place, says bool) func() {
	leaving := ""
	p.with(func(e *standin.Endpoint) {
		if says && e.Drain() || !says && e.Unregister() {
			leaving = e.ID
		}
	})
	if leaving != "" {
		s.judge.leaves(leaving)
	}
	return func() {
		end := s.judge.disturb(p.name)
		defer end()
		p.crash(true)
		s.startIfGone(p, p.service)
	}
}

// reuse ends a plain service's endpoint, and starts one of another service at its address until the function that is
// returned brings the first one back.
func (s *site) reuse(p *place, lasts time.Duration) func() {
	end := s.judge.disturb(p.name)
	p.crash(true)
	other := ledger
	if p.service == ledger {
		other = pads
	}
	if lasts > reuseAfter {
		time.AfterFunc(reuseAfter, func() { s.startIfGone(p, other) })
	}
	return func() {
		defer end()
		p.crash(true)
		time.Sleep(reuseAfter)
		s.startIfGone(p, p.service)
	}
}

// endpointFault lets an endpoint misbehave.
func endpointFault(change func(*standin.EndpointFaults)) func(*site, uint64, time.Duration) func() {
	return func(s *site, pick uint64, _ time.Duration) func() {
		p := s.place(pick)
		end := s.judge.disturb(p.name)
		p.with(func(e *standin.Endpoint) { e.SetFaults(change) })
		return func() {
			p.with(func(e *standin.Endpoint) {
				e.SetFaults(func(f *standin.EndpointFaults) { *f = standin.EndpointFaults{} })
			})
			end()
		}
	}
}

// reconfigure adds a route and removes the oldest added one, every other time.
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
			Name: prefix, Host: siteHost, Prefix: prefix, Type: standin.RouteSafe, TimeoutMS: 2000, TargetLatencyMS: 300, Service: pads, MaxAttempts: 2,
		})
	})
	if ok {
		s.judge.declared(config, when)
	}
}
