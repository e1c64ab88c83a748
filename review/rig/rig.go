// Package rig holds what the scripts of review/6 to review/10 share: the record of a run, and the project's programs between stand-ins
// on loopback addresses.
package rig

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"balsamsail/internal/childprocess"
	"balsamsail/platform/standin"
)

// SiteHost is the name of the site for clients, and Zone its only zone.
const (
	SiteHost = "site.example"
	Zone     = "zone-a"
)

// Header fields of the platform that the stand-ins of the project do not export.
const (
	HeaderExpected    = "Balsamsail-Expected-Instance"
	HeaderInstance    = "Balsamsail-Instance-Id"
	HeaderNotExecuted = "Balsamsail-Not-Executed"
)

// Record is the file of what was sent, answered and run.
type Record struct {
	mu     sync.Mutex
	out    io.Writer
	start  time.Time
	broken []string
}

// Printf writes a line with the time since the start of the run.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Broken records that the rule was broken.
func (r *Record) Broken(format string, args ...any) {
	r.Printf("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// Site is the project's programs and the store that they share.
type Site struct {
	*Record
	Store *standin.Store
	// Trouble is set if the disruption is made.
	Trouble bool

	binary, dir string
	storeAddr   string
	network     int
	lock        net.Listener
	ports       ports
}

// ports are those of the project's programs, which are the same on all hosts.
type ports struct{ clients, readiness, agents, peers, endpoints int }

// Main runs a case and exits: with 1 if the rule was broken, 2 if the case could not run, else 0.
func Main(rule string, run func(*Site) error) {
	trouble := flag.Bool("trouble", true, "make the disruption")
	binary := flag.String("binary", "target/balsamsail", "the program")
	path := flag.String("record", "record.txt", "file of what was sent, answered and run")
	flag.Parse()
	os.Exit(exitCode(rule, *trouble, *binary, *path, run))
}

func exitCode(rule string, trouble bool, binary, path string, run func(*Site) error) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	s := &Site{Record: &Record{out: out, start: time.Now()}, Store: standin.NewStore(), Trouble: trouble, binary: binary}
	defer func() { _ = os.RemoveAll(s.dir) }()
	if err = s.prepare(); err == nil {
		err = run(s)
	}
	if err != nil {
		s.Printf("the case could not run: %v", err)
		s.recordErrors()
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	if len(broken) > 0 {
		fmt.Printf("%s broken, %d times, first: %s\n", rule, len(broken), broken[0])
		return 1
	}
	s.Printf("%s held", rule)
	fmt.Println(rule, "held")
	return 0
}

// recordErrors writes what the programs have reported as errors.
func (s *Site) recordErrors() {
	logs, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	if err != nil {
		return
	}
	for _, file := range logs {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if !strings.HasPrefix(line, `{"time"`) || strings.Contains(line, `"level":"ERROR"`) {
				s.Printf("%s: %s", filepath.Base(file), strings.TrimSpace(line))
			}
		}
	}
}

func (s *Site) prepare() error {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	s.dir = dir
	// The lock is held until the program ends.
	if s.network, s.lock, err = takeNetwork(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.Store) }()
	free, err := freePorts(5)
	if err != nil {
		return err
	}
	s.ports = ports{clients: free[0], readiness: free[1], agents: free[2], peers: free[3], endpoints: free[4]}
	return nil
}

// freePorts returns free ports of a loopback address.
func freePorts(n int) ([]int, error) {
	var free []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		free = append(free, l.Addr().(*net.TCPAddr).Port)
	}
	return free, nil
}

// lockPort is the port of the gateways' metrics, which the settings' template fixes.
const lockPort = 9464

// takeNetwork returns the second byte of loopback addresses that no other run uses meanwhile.
func takeNetwork() (network int, lock net.Listener, err error) {
	const first, number = 100, 100
	for n := range number {
		network = first + (os.Getpid()+n)%number
		if lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.200.1:%d", network, lockPort)); err == nil {
			return network, lock, nil
		}
	}
	return 0, nil, err
}

func (s *Site) gatewayIP(n int) string  { return fmt.Sprintf("127.%d.201.%d", s.network, n) }
func (s *Site) endpointIP(n int) string { return fmt.Sprintf("127.%d.202.%d", s.network, n) }

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// ClientsAddress is where the n-th gateway takes clients' requests.
func (s *Site) ClientsAddress(n int) string { return address(s.gatewayIP(n), s.ports.clients) }

// EndpointAddress is where the n-th endpoint listens.
func (s *Site) EndpointAddress(n int) string { return address(s.endpointIP(n), s.ports.endpoints) }

// Declare writes the configuration: services, and routes of the site's host.
func (s *Site) Declare(services []standin.Service, routes ...standin.Route) {
	standin.NewOperator(s.Store).Change(func(c *standin.Config) {
		c.Limits = standin.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}
		c.Services = services
		for _, r := range routes {
			r.Host = SiteHost
			c.Routes = append(c.Routes, r)
		}
	})
}

// Gateway returns the n-th gateway, with the settings and the command line of the deploy file.
func (s *Site) Gateway(n int) (*childprocess.Process, error) {
	name := fmt.Sprintf("edge-%d", n)
	p, err := s.process(name, "gateway", map[string]string{
		"ip": s.gatewayIP(n), "listen.frontend": s.ClientsAddress(n), "listen.readiness": address(s.gatewayIP(n), s.ports.readiness),
		"platform.address": s.storeAddr, "bounds.retry_budget_ratio": "0.2", "bounds.budget_extra_retries": "54", "bounds.budget_window_s": "10",
		"bounds.grace_s": "8",
	})
	if err != nil {
		return nil, err
	}
	p.Args = append(p.Args, "-set", "gateway.processor_share=0.304", "-set", "gateway.processor_speed=1")
	return p, nil
}

// Agent returns the agent of the n-th endpoint.
func (s *Site) Agent(n int) (*childprocess.Process, error) {
	return s.process(fmt.Sprintf("side-%d", n), "engine-agent", map[string]string{"ip": s.endpointIP(n), "app": s.EndpointAddress(n)})
}

func (s *Site) process(name, role string, values map[string]string) (*childprocess.Process, error) {
	all := map[string]string{
		"node_name": name, "zone": Zone, "internal_ports.0": strconv.Itoa(s.ports.agents), "internal_ports.1": strconv.Itoa(s.ports.peers),
		"limits.memory_mb": "284", "limits.max_fds": "4100",
	}
	maps.Copy(all, values)
	file := filepath.Join(s.dir, name+".ini")
	if err := standin.FillTemplate(filepath.Join("platform", role+".ini"), file, all); err != nil {
		return nil, err
	}
	return &childprocess.Process{Name: name, Path: s.binary, Log: filepath.Join(s.dir, name+".log"), Args: []string{role, "-config", file}}, nil
}

// AwaitReady waits until a number of gateways say that they are ready.
func (s *Site) AwaitReady(first, number int) error {
	for n := first; n < first+number; n++ {
		if err := s.awaitReady(address(s.gatewayIP(n), s.ports.readiness)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) awaitReady(readiness string) error {
	const patience = 10 * time.Second
	for begun := time.Now(); time.Since(begun) < patience; time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + readiness + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the gateway at %s is not ready", readiness)
}

// Programs returns a number of gateways from the first on, and the agents of the endpoints from a first on.
func (s *Site) Programs(firstGateway, gateways, firstAgent, agents int) (all, ofAgents []*childprocess.Process, err error) {
	for n := range gateways {
		p, err := s.Gateway(firstGateway + n)
		if err != nil {
			return nil, nil, err
		}
		all = append(all, p)
	}
	for n := range agents {
		p, err := s.Agent(firstAgent + n)
		if err != nil {
			return nil, nil, err
		}
		ofAgents = append(ofAgents, p)
	}
	return append(all, ofAgents...), ofAgents, nil
}

// Start starts processes.
func Start(processes []*childprocess.Process) error {
	for _, p := range processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Kill kills processes.
func Kill(processes []*childprocess.Process) {
	for _, p := range processes {
		p.Kill()
	}
}

// CheckRunning returns an error if a process has ended by itself; the case then shows nothing.
func CheckRunning(processes []*childprocess.Process) error {
	for _, p := range processes {
		if !p.Signal(0) {
			return fmt.Errorf("%s has ended: %v", p.Name, p.ExitError())
		}
	}
	return nil
}

// Send sends a call to an address on a connection of its own, and returns the status, 0 if there was no whole answer, and the body.
func (s *Site) Send(ctx context.Context, call standin.Call, to string) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	request, err := call.Request(ctx, to)
	if err != nil {
		s.Printf("request %s to %s: %v", call.ID, to, err)
		return 0, nil
	}
	request.Header.Del("Balsamsail-Pin-Ms")
	s.Printf("request %s (%s) is sent to %s", call.ID, call.Model, to)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.Printf("request %s (%s) to %s: %v", call.ID, call.Model, to, err)
		return 0, nil
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	s.Printf("request %s (%s) to %s: %d, %d bytes, Retry-After %q, error %v", call.ID, call.Model, to, response.StatusCode, len(body), response.Header.Get("Retry-After"), err)
	if err != nil {
		return 0, body
	}
	return response.StatusCode, body
}

// WriteJSON writes an answer of a stand-in.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// Listen listens on an address that a process which has just ended may still hold.
func Listen(address string) (net.Listener, error) {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// Rows returns the keys of a table of the store.
func (s *Site) Rows(table string) ([]string, error) {
	response, err := http.Get("http://" + s.storeAddr + "/api/rows-get?part=&table=" + table)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var answer struct {
		Rows []struct {
			Key string `json:"key"`
		} `json:"rows"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	keys := make([]string, 0, len(answer.Rows))
	for _, row := range answer.Rows {
		keys = append(keys, row.Key)
	}
	return keys, nil
}

// PeersAddress is where the n-th gateway takes the links of others.
func (s *Site) PeersAddress(n int) string { return address(s.gatewayIP(n), s.ports.peers) }

// Darken keeps an address from answering, as one does whose machine has no power: connections to it are neither accepted nor refused.
// The returned function ends that.
func Darken(address string) (end func(), err error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	end = func() { _ = unix.Close(fd) }
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		end()
		return nil, err
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		end()
		return nil, err
	}
	if err := unix.Listen(fd, 0); err != nil {
		end()
		return nil, err
	}
	// With its queue of connections full, the kernel drops the packets that open further ones.
	const fill, patience = 4, 100 * time.Millisecond
	for range fill {
		conn, err := net.DialTimeout("tcp", address, patience)
		if err != nil {
			return end, nil
		}
		before := end
		end = func() {
			_ = conn.Close()
			before()
		}
	}
	end()
	return nil, fmt.Errorf("the address %s goes on answering", address)
}
