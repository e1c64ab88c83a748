// Command soak is a randomized fault test. It runs the real programs as separate processes on loopback, together with
// stand-ins for the platform's store, operator, weight store and endpoints, and injects faults from outside: signals, network
// faults between the processes, and misbehaviour of the store and the endpoints. During the run it checks what clients and
// endpoints observe against the system's guarantees. The seed determines the faults and their timing, but not how the
// processes are scheduled, so that a failure may take several runs of the same seed to reproduce.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/childprocess"
	"balsamsail/platform"
	"balsamsail/platform/standin"
)

// options configure one run.
type options struct {
	seed    uint64
	length  time.Duration
	size    size
	clients int
	// root is the directory that holds the settings templates. binary is the path of the program, which is built if it is
	// empty.
	root, binary string
	// keep is the directory for logs. If it is empty, logs go to a temporary directory that is kept only when a run fails;
	// the report names it.
	keep string
	// only selects the faults to inject, as in the flag of the same name; all of them if it is empty.
	only string
	out  io.Writer
}

func main() {
	o := options{out: os.Stdout, root: "."}
	flag.Uint64Var(&o.seed, "seed", uint64(time.Now().Unix())%100_000, "seed of the faults")
	flag.DurationVar(&o.length, "for", time.Minute, "length of the run")
	flag.IntVar(&o.size.gateways, "gateways", 3, "gateways")
	flag.IntVar(&o.size.engines, "engines", 4, "engines, each with its agent")
	flag.IntVar(&o.size.services, "services", 4, "endpoints of plain services")
	flag.IntVar(&o.size.models, "models", 12, "models, which are more than the engines hold at once")
	flag.IntVar(&o.clients, "clients", 8, "clients of each gateway")
	flag.StringVar(&o.binary, "binary", "", "the program; built if left out")
	flag.StringVar(&o.keep, "keep", "", "directory for logs")
	flag.StringVar(&o.only, "only", "", "only faults whose names contain one of these texts, separated by commas")
	flag.Parse()
	violations, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

// run makes one run and returns the number of violations.
func run(o options) (int, error) {
	dir, err := workDir(o.keep)
	if err != nil {
		return 0, err
	}
	if o.binary == "" {
		o.binary = filepath.Join(dir, "balsamsail")
		if err := childprocess.BuildProgram(o.binary); err != nil {
			return 0, err
		}
	}
	c := newChecker()
	s, err := newSite(o.seed, o.size, dir, o.root, o.binary, c)
	if err != nil {
		return 0, err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return 0, err
	}
	log, err := os.Create(filepath.Join(dir, "soak.log"))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = log.Close() }()
	s.runWorkload(o, log)
	violations := c.report(o, dir)
	if violations == 0 && o.keep == "" {
		_ = os.RemoveAll(dir)
	}
	return violations, nil
}

func workDir(keep string) (string, error) {
	if keep == "" {
		dir, err := os.MkdirTemp("", "balsamsail-soak")
		return dir, errors.WithStack(err)
	}
	return keep, errors.WithStack(os.MkdirAll(keep, 0o700))
}

const (
	// readyTimeout is how long the gateways may take to become ready after the start, recoveryTimeout after the last fault.
	readyTimeout    = 10 * time.Second
	recoveryTimeout = 12 * time.Second
	// recoveryWatch is how long the share of served requests is measured after the recovery.
	recoveryWatch = 2 * time.Second
)

// runWorkload sends requests and injects faults for the length of a run, and then checks that the site recovers.
func (s *site) runWorkload(o options, log io.Writer) {
	if !s.awaitReady(readyTimeout) {
		s.checker.addViolation("start", "not all gateways were ready within %v", readyTimeout)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, h := range s.gateways {
		for n := range o.clients {
			clients.Go(func() { newClient(s, h, n).run(ctx) })
		}
	}
	clients.Go(func() { probeRoutes(ctx, s) })
	watchCtx, stopWatching := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	watchers.Go(func() { s.watchProcesses(watchCtx) })
	s.inject(plan(o.seed, o.length, selectFaults(o.only)), o.length, log)
	s.checkRecovery()
	s.checkResources()
	stop()
	clients.Wait()
	stopWatching()
	watchers.Wait()
	s.checker.checkRetryBudget()
	s.checker.checkTakenUp()
	s.checker.checkShares()
}

// selectFaults returns the faults whose names contain one of the comma-separated texts.
func selectFaults(only string) []fault {
	if only == "" {
		return faults
	}
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
		return !slices.ContainsFunc(strings.Split(only, ","), func(text string) bool { return strings.Contains(f.name, text) })
	})
}

// inject executes a plan and clears all faults at its end.
func (s *site) inject(events []event, length time.Duration, log io.Writer) {
	began := time.Now()
	var active sync.WaitGroup
	for _, e := range events {
		time.Sleep(time.Until(began.Add(e.at)))
		fmt.Fprintf(log, "%8.3f %s, for %v, pick %d\n", time.Since(s.checker.began).Seconds(), e.fault.name, e.duration.Round(ms), e.pick%60)
		s.checker.recordFault(e.fault.name)
		if end := e.fault.run(s, e.pick, e.duration); end != nil {
			active.Go(func() {
				time.Sleep(e.duration)
				end()
				fmt.Fprintf(log, "%8.3f end of: %s\n", time.Since(s.checker.began).Seconds(), e.fault.name)
			})
		}
	}
	time.Sleep(time.Until(began.Add(length)))
	active.Wait()
	s.healAll()
}

// healAll clears what overlapping faults may have left behind.
func (s *site) healAll() {
	s.store.SetFaults(func(f *standin.StoreFaults) { *f = standin.StoreFaults{} })
	for _, h := range s.hosts() {
		h.process.Signal(syscall.SIGCONT)
		for _, l := range h.links {
			if err := l.Heal(); err != nil {
				s.checker.addViolation("soak itself", "%s: heal a link: %v", h.name, err)
			}
		}
	}
	for _, p := range s.endpoints {
		if err := p.link.Heal(); err != nil {
			s.checker.addViolation("soak itself", "%s: heal a link: %v", p.name, err)
		}
		s.startIfStopped(p, p.service, "")
	}
}

// checkRecovery checks that the site recovers after the last fault: each gateway is ready, and at least minServedShare of
// the requests succeed.
func (s *site) checkRecovery() {
	if !s.awaitReady(recoveryTimeout) {
		s.checker.addViolation("recovery", "not all gateways were ready %v after the last fault", recoveryTimeout)
	}
	time.Sleep(recoveryTimeout / 2)
	before := s.checker.snapshot()
	time.Sleep(recoveryWatch)
	after := s.checker.snapshot()
	ended, served := 0, after["ended: 200"]-before["ended: 200"]
	for name, n := range after {
		if strings.HasPrefix(name, "ended: ") && name != "ended: left by the client" {
			ended += n - before[name]
		}
	}
	const minServedShare = 0.6
	if ended == 0 || float64(served) < minServedShare*float64(ended) {
		s.checker.addViolation("recovery", "%d of %d requests were served in %v, %v after the last fault", served, ended, recoveryWatch, recoveryTimeout/2)
	}
}

// awaitReady waits until all gateways are ready.
func (s *site) awaitReady(timeout time.Duration) bool {
	const poll = 50 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for {
		ready := 0
		for _, h := range s.gateways {
			if s.isReady(h) {
				ready++
			}
		}
		if ready == len(s.gateways) {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(poll)
	}
}

var readinessClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (s *site) isReady(h *host) bool {
	response, err := readinessClient.Get("http://" + h.readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
