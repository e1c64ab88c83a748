package capacity

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"

	"balsamsail/internal/backing"
	"balsamsail/internal/childprocess"
	"balsamsail/internal/clock"
	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	standin "balsamsail/internal/standin/platform"
)

var (
	runProcesses = flag.Bool("capacity.run", false, "run the tests that start real processes and measure them")
	measureFor   = flag.Duration("capacity.for", 60*time.Second, "`time` over which processes are measured")
	binaryPath   = flag.String("capacity.binary", "", "the binary to run, `path`; built from this tree where left out")
	sizeList     = flag.String("capacity.sizes", "", "sizes of a run, separated by commas; the test's own where left out")
)

func skipUnlessRun(t *testing.T) {
	t.Helper()
	if !*runProcesses {
		t.Skip("starts many processes; run it with -capacity.run")
	}
}

// buildDir is where the binary was built, empty when it was not.
var buildDir string

// built is the binary, built once.
var built = sync.OnceValues(func() (string, error) {
	if *binaryPath != "" {
		return *binaryPath, nil
	}
	dir, err := os.MkdirTemp("", "balsamsail-capacity")
	if err != nil {
		return "", err
	}
	buildDir = dir
	path := filepath.Join(dir, "balsamsail")
	return path, childprocess.BuildProgram(path)
})

// TestMain removes the binary that was built.
func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// child is a running process of the binary.
type child struct {
	name string
	cmd  *exec.Cmd
	// addresses are those that the process told that it listens on, by their names.
	addresses map[string]string
}

var (
	listening = regexp.MustCompile(`msg=listening`)
	addressOf = regexp.MustCompile(`(\w+)=(127\.0\.0\.1:\d+)`)
)

// startChild starts the binary in a role and waits until it tells its addresses.
func startChild(t *testing.T, role, name, settings string) *child {
	t.Helper()
	binary, err := built()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	c := &child{name: name, cmd: exec.Command(binary, role, "-config", file), addresses: map[string]string{}}
	logs, err := c.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.stop() })
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		if !listening.Match(lines.Bytes()) {
			continue
		}
		for _, m := range addressOf.FindAllStringSubmatch(lines.Text(), -1) {
			c.addresses[m[1]] = m[2]
		}
		go func() { _, _ = io.Copy(io.Discard, logs) }()
		return c
	}
	t.Fatalf("%s ended before it listened", name)
	return nil
}

// stop ends the process at once.
func (c *child) stop() {
	_ = c.cmd.Process.Signal(syscall.SIGKILL)
	_ = c.cmd.Wait()
}

// reading is what a process has used up to a moment.
type reading struct {
	at  time.Time
	cpu float64
	rss float64
}

func (c *child) read(t *testing.T) reading {
	t.Helper()
	proc, err := procfs.NewProc(c.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	stat, err := proc.Stat()
	if err != nil {
		t.Fatal(err)
	}
	return reading{at: time.Now(), cpu: stat.CPUTime(), rss: float64(stat.ResidentMemory())}
}

// share is the part of a core that was used between two readings.
func share(before, after reading) float64 {
	return (after.cpu - before.cpu) / after.at.Sub(before.at).Seconds()
}

// site is the stand-in platform and what the processes of a run need of it.
type site struct {
	platform *standin.Server
	url      string
	store    *declarations.Store
	// reads and writes are the limits of the stand-in's table.
}

// newSite returns a platform without limits that would change the figures.
func newSite(t *testing.T) *site {
	t.Helper()
	server := standin.New(standin.Options{
		Table: standin.StoreLimits{ReadsPerSecond: 1e6, WritesPerSecond: 1e6},
	})
	web := httptest.NewServer(server.Handler())
	t.Cleanup(web.Close)
	table := backing.NewHTTPTable(backing.Options{TableURL: web.URL, Timeout: 10 * time.Second}, nil)
	logger := slog.New(slog.DiscardHandler)
	return &site{
		platform: server,
		url:      web.URL,
		store:    declarations.NewStore(declarations.Options{}, table, clock.Real{}, logger, prometheus.NewRegistry()),
	}
}

// declare makes edits that put objects, some thousands at a time, and returns the last revision.
func (s *site) declare(t *testing.T, objects []*pb.Object) uint64 {
	t.Helper()
	const most = 4000
	revision := uint64(0)
	for len(objects) > 0 {
		n := min(most, len(objects))
		result, err := s.store.Edit(context.Background(), declarations.EditRequest{
			Author: "capacity",
			Change: declarations.PutObjects(objects[:n], nil),
		})
		if err != nil {
			t.Fatal(err)
		}
		revision, objects = result.Revision, objects[n:]
	}
	return revision
}

// platformSettings are the settings of the platform's clients.
func (s *site) platformSettings() string {
	return fmt.Sprintf("[platform]\ntable_url = %[1]s\nobjects_url = %[1]s\nhosts_url = %[1]s\n", s.url)
}

func (s *site) entrySettings(id string, extra string) string {
	return fmt.Sprintf("[entry]\nid = %s\nfailure_domain = %s\nlisten = 127.0.0.1:0\noperator_listen = 127.0.0.1:0\n\n%s\n%s",
		id, domainName(0), s.platformSettings(), extra)
}

func (s *site) agentSettings(i int, engineURL string) string {
	return fmt.Sprintf("[agent]\nhost = %s\nfailure_domain = %s\nlisten = 127.0.0.1:0\n\n[endpoint]\nkind = engine\nname = %s\nurl = %s\n"+
		"labels = accelerator=%s, pool=pool-%d, rack=rack-%04d\nchecks_fencing = true\n\n%s",
		hostName(i), domainName(i), engineName(i), engineURL, engineLabels(i)["accelerator"], i%7, i/16, s.platformSettings())
}

// traffic is what went over TCP connections, counted by the kernel.
type traffic struct {
	// in and out are the payload's bytes at our end, and segments all segments, acknowledgements included.
	in, out, segments float64
}

// headerBytes are the bytes of the IP and TCP headers of one segment, with the time-stamp option.
const headerBytes = 52

// onWire is the bytes of both directions with their headers.
func (t traffic) onWire() float64 { return t.in + t.out + headerBytes*t.segments }

func (t traffic) minus(o traffic) traffic {
	return traffic{in: t.in - o.in, out: t.out - o.out, segments: t.segments - o.segments}
}

// conns are connections whose traffic is counted.
type conns struct {
	mu   sync.Mutex
	list []*net.TCPConn
}

func (c *conns) add(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		c.mu.Lock()
		c.list = append(c.list, tcp)
		c.mu.Unlock()
	}
}

func (c *conns) traffic() traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum traffic
	for _, conn := range c.list {
		raw, err := conn.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				sum.in += float64(info.Bytes_received)
				sum.out += float64(info.Bytes_acked)
				sum.segments += float64(info.Segs_in) + float64(info.Segs_out)
			}
		})
	}
	return sum
}

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	conns *conns
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conns.add(conn)
	}
	return conn, err
}

// relay passes connections on to a process and counts the traffic on the process's side.
type relay struct {
	address, target string
	conns           conns
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{address: listener.Addr().String(), target: target}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go r.pass(near)
		}
	}()
	return r
}

// pass copies both ways until either side ends.
func (r *relay) pass(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	r.conns.add(far)
	go func() {
		_, _ = io.Copy(near, far)
		_ = near.Close()
	}()
	_, _ = io.Copy(far, near)
	_ = far.Close()
}

// eventually waits until a condition holds.
func eventually(tb testing.TB, patience time.Duration, what string, holds func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("not within %v: %s", patience, what)
		}
	}
}
