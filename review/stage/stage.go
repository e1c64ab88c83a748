package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"balsamsail/internal/childprocess"
	"balsamsail/platform/standin"
)

// Ports, the same on all hosts; each host has a loopback address of its own. The metrics ports are fixed by the templates.
const (
	portClients   = 18149
	portReadiness = 18141
	portStore     = 18142
	portServer    = 18500
	portAgent     = 18380
	portPeers     = 18395
	portMetrics   = 9464
)

// The bounds of a small deployment (sheet of reinstate-amman).
const (
	graceSeconds  = 8
	retryRatio    = 0.2
	retryExtra    = 54
	retryWindow   = 10
	processor     = 0.304
	heartbeatTime = 1200 * time.Millisecond
)

// The names of the deployment.
const siteHost = "ficu95.example"

// host is a machine that runs a gateway.
type host struct {
	name, frontend, readiness string
	process                   *childprocess.Process
}

// stage is the deployment of a case: the platform's store, gateways and servers.
type stage struct {
	record  *record
	binary  string
	trouble bool
	seed    uint64
	dir     string
	octet   int

	store    *standin.Store
	operator *standin.Operator
	server   *http.Server
	gateways []*host
	servers  []*server
}

// newStage creates the store on a free range of loopback addresses.
func newStage(r *record, binary string, trouble bool, seed uint64) (*stage, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &stage{record: r, binary: binary, trouble: trouble, seed: seed, dir: dir, store: standin.NewStore()}
	s.operator = standin.NewOperator(s.store)
	first := 30 + os.Getpid()%200
	for try := range 20 {
		s.octet = 30 + (first-30+try*7)%200
		listener, err := net.Listen("tcp", s.address(0, portStore))
		if err != nil {
			continue
		}
		s.server = &http.Server{Handler: s.store}
		go func() { _ = s.server.Serve(listener) }()
		return s, nil
	}
	return nil, errors.New("no free range of loopback addresses")
}

func (s *stage) ip(n int) string { return fmt.Sprintf("127.%d.7.%d", s.octet, n+1) }

func (s *stage) address(n, port int) string { return net.JoinHostPort(s.ip(n), fmt.Sprint(port)) }

// firstGateway and firstServer are the numbers of the first hosts of their kinds.
const (
	firstGateway = 10
	firstServer  = 50
)

var zones = []string{"amman-a", "amman-b", "zarqa-a", "salt-a"}

// startGateways starts gateways with the command and the template of the deploy file.
func (s *stage) startGateways(n int) error {
	for i := range n {
		number := firstGateway + i
		h := &host{
			name: fmt.Sprintf("edge-%d", i+1), frontend: s.address(number, portClients), readiness: s.address(number, portReadiness),
		}
		settings := filepath.Join(s.dir, h.name+".ini")
		err := standin.FillTemplate("platform/gateway.ini", settings, map[string]string{
			"node_name": h.name, "zone": zones[i%len(zones)], "ip": s.ip(number), "listen.frontend": h.frontend, "listen.readiness": h.readiness,
			"platform.address": s.address(0, portStore), "internal_ports.0": fmt.Sprint(portAgent), "internal_ports.1": fmt.Sprint(portPeers),
			"bounds.retry_budget_ratio": fmt.Sprint(retryRatio), "bounds.budget_extra_retries": fmt.Sprint(retryExtra),
			"bounds.budget_window_s": fmt.Sprint(retryWindow), "bounds.grace_s": fmt.Sprint(graceSeconds),
		})
		if err != nil {
			return err
		}
		h.process = &childprocess.Process{
			Name: h.name, Path: s.binary, Log: filepath.Join(s.dir, h.name+".log"),
			Args: []string{
				"gateway", "-config", settings, "-set", fmt.Sprintf("gateway.processor_share=%v", processor), "-set", "gateway.processor_speed=1",
			},
		}
		s.gateways = append(s.gateways, h)
		if err := h.process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// readyTimeout bounds the wait for the gateways to report that they are ready.
const readyTimeout = 15 * time.Second

// awaitReady waits until all gateways are ready.
func (s *stage) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(readyTimeout)
	for _, h := range s.gateways {
		for {
			resp, err := client.Get("http://" + h.readiness + "/api/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// declare writes the first configuration.
func (s *stage) declare(services []standin.Service, routes []standin.Route) error {
	_, _, ok := s.operator.Change(func(c *standin.Config) {
		c.Limits = standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}
		c.Services, c.Routes = services, routes
	})
	if !ok {
		return errors.New("the store took no configuration")
	}
	return nil
}

// close ends everything that the case has started.
func (s *stage) close() {
	for _, h := range s.gateways {
		if h.process == nil {
			continue
		}
		h.process.Signal(syscall.SIGCONT)
		h.process.Kill()
		s.recordPanics(h)
	}
	for _, e := range s.servers {
		e.close()
	}
	if s.server != nil {
		_ = s.server.Close()
	}
	_ = os.RemoveAll(s.dir)
}

// recordPanics notes in the record whether a process has panicked.
func (s *stage) recordPanics(h *host) {
	log, err := os.ReadFile(h.process.Log)
	if err != nil {
		return
	}
	for _, marker := range []string{"panic:", "fatal error:"} {
		if at := strings.Index(string(log), marker); at >= 0 {
			s.record.printf("%s: %.200s", h.name, log[at:])
		}
	}
}
