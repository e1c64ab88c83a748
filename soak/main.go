// Command soak runs the real programs as separate processes on loopback, between stand-ins of the users' platform, and harms
// them from outside: by signals, on the network between them, at the store and the endpoints. While the run goes on it checks
// what callers and endpoints see against what the system promises. The seed decides on the faults and when they come; what the
// processes make of them is not repeatable to the microsecond, so that a seed that failed once may need several runs.
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

// options are those of one run.
type options struct {
	seed    uint64
	length  time.Duration
	size    size
	clients int
	// root is the directory with the templates of settings, and binary the program; it is built where none is named.
	root, binary string
	// keep is where logs stay; without it they stay only when a run fails, in a directory that the report names.
	keep string
	// only names the kinds of faults to inject; all where it is empty.
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

// run makes one run and returns how many promises were broken.
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
	j := newJudge()
	s, err := newSite(o.seed, o.size, dir, o.root, o.binary, j)
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
	s.play(o, log)
	violations := j.report(o, dir)
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
	// upWithin is the time within which the site serves after its start, and recoverWithin the one after the last fault.
	upWithin      = 10 * time.Second
	recoverWithin = 12 * time.Second
	// showRecovery is how long the recovered site is watched.
	showRecovery = 2 * time.Second
)

// play sends requests and injects faults for the length of a run, and then lets the site recover.
func (s *site) play(o options, log io.Writer) {
	if !s.awaitReady(upWithin) {
		s.judge.Violate("start", "not all gateways were ready within %v", upWithin)
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
	watched, stopWatching := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() { s.watchProcesses(watched) })
	s.inject(plan(o.seed, o.length, chosen(o.only)), o.length, log)
	s.checkRecovery()
	s.checkResources()
	stop()
	clients.Wait()
	stopWatching()
	watching.Wait()
	s.judge.budget()
}

// chosen are the faults whose names contain one of the texts.
func chosen(only string) []fault {
	if only == "" {
		return faults
	}
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
		return !slices.ContainsFunc(strings.Split(only, ","), func(text string) bool { return strings.Contains(f.name, text) })
	})
}

// inject carries out a plan and ends all faults after the given time.
func (s *site) inject(events []event, length time.Duration, log io.Writer) {
	began := time.Now()
	var lasting sync.WaitGroup
	for _, e := range events {
		time.Sleep(time.Until(began.Add(e.at)))
		fmt.Fprintf(log, "%8.3f %s, for %v, pick %d\n", time.Since(s.judge.began).Seconds(), e.fault.name, e.lasts.Round(ms), e.pick%60)
		s.judge.injected(e.fault.name)
		if end := e.fault.run(s, e.pick, e.lasts); end != nil {
			lasting.Go(func() {
				time.Sleep(e.lasts)
				end()
				fmt.Fprintf(log, "%8.3f end of: %s\n", time.Since(s.judge.began).Seconds(), e.fault.name)
			})
		}
	}
	time.Sleep(time.Until(began.Add(length)))
	lasting.Wait()
	s.healAll()
}

// healAll ends what overlapping faults may have left behind.
func (s *site) healAll() {
	s.store.SetFaults(func(f *standin.StoreFaults) { *f = standin.StoreFaults{} })
	for _, h := range s.hosts() {
		h.process.Signal(syscall.SIGCONT)
		for _, l := range h.links {
			if err := l.Heal(); err != nil {
				s.judge.Violate("soak itself", "%s: a link does not heal: %v", h.name, err)
			}
		}
	}
	for _, p := range s.places {
		if err := p.link.Heal(); err != nil {
			s.judge.Violate("soak itself", "%s: a link does not heal: %v", p.name, err)
		}
		s.startIfGone(p, p.service)
	}
}

// checkRecovery checks that all is well again soon after the last fault: each gateway is ready, and nearly everything is
// served.
func (s *site) checkRecovery() {
	if !s.awaitReady(recoverWithin) {
		s.judge.Violate("recovery", "not all gateways were ready %v after the last fault", recoverWithin)
	}
	time.Sleep(recoverWithin / 2)
	before := s.judge.snapshot()
	time.Sleep(showRecovery)
	after := s.judge.snapshot()
	ended, served := 0, after["ended: 200"]-before["ended: 200"]
	for name, n := range after {
		if strings.HasPrefix(name, "ended: ") && name != "ended: left by the client" {
			ended += n - before[name]
		}
	}
	const mostOf = 0.6
	if ended == 0 || float64(served) < mostOf*float64(ended) {
		s.judge.Violate("recovery", "%d of %d requests were served in %v, %v after the last fault", served, ended, showRecovery, recoverWithin/2)
	}
}

// awaitReady waits until all gateways are ready.
func (s *site) awaitReady(patience time.Duration) bool {
	const poll = 50 * time.Millisecond
	deadline := time.Now().Add(patience)
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
