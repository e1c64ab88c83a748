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
	binaryPath   = flag.String("capacity.binary", "", "`path` of the binary to run; built from this tree if not set")
	sizeList     = flag.String("capacity.sizes", "", "comma-separated sizes to run instead of the test's own")
)

func skipUnlessRun(t *testing.T) {
	t.Helper()
	if !*runProcesses {
		t.Skip("starts many processes; run it with -capacity.run")
	}
}

// buildDir is the directory of the built binary, empty if none was built.
var buildDir string

// binary returns the path of the binary, which is built at the first call.
var binary = sync.OnceValues(func() (string, error) {
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

// TestMain removes the built binary after the tests.
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
	// addresses are the listen addresses that the process logged, by name.
	addresses map[string]string
}

var (
	listeningLine  = regexp.MustCompile(`msg=listening`)
	addressPattern = regexp.MustCompile(`(\w+)=(127\.0\.0\.1:\d+)`)
)

// startChild starts the binary in a role and waits until it logs its listen addresses.
func startChild(t *testing.T, role, name, settings string) *child {
	t.Helper()
	path, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	c := &child{name: name, cmd: exec.Command(path, role, "-config", file), addresses: map[string]string{}}
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
		if !listeningLine.Match(lines.Bytes()) {
			continue
		}
		for _, m := range addressPattern.FindAllStringSubmatch(lines.Text(), -1) {
			c.addresses[m[1]] = m[2]
		}
		go func() { _, _ = io.Copy(io.Discard, logs) }()
		return c
	}
	t.Fatalf("%s exited before it listened", name)
	return nil
}

// stop kills the process.
func (c *child) stop() {
	_ = c.cmd.Process.Signal(syscall.SIGKILL)
	_ = c.cmd.Wait()
}

// sample is a process's total CPU time in seconds and resident memory in bytes at a time.
type sample struct {
	at  time.Time
	cpu float64
	rss float64
}

func (c *child) read(t *testing.T) sample {
	t.Helper()
	proc, err := procfs.NewProc(c.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	stat, err := proc.Stat()
	if err != nil {
		t.Fatal(err)
	}
	return sample{at: time.Now(), cpu: stat.CPUTime(), rss: float64(stat.ResidentMemory())}
}

// cpuShare returns the CPU usage between two samples in cores.
func cpuShare(before, after sample) float64 {
	return (after.cpu - before.cpu) / after.at.Sub(before.at).Seconds()
}

// testPlatform is a stand-in platform with a store of declarations, for the processes of one test.
type testPlatform struct {
	server *standin.Server
	url    string
	store  *declarations.Store
}

// newTestPlatform starts a stand-in platform whose table limits are too high to affect the measurements.
func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	server := standin.New(standin.Options{
		Table: standin.StoreLimits{ReadsPerSecond: 1e6, WritesPerSecond: 1e6},
	})
	web := httptest.NewServer(server.Handler())
	t.Cleanup(web.Close)
	table := backing.NewHTTPTable(backing.Options{TableURL: web.URL, Timeout: 10 * time.Second}, nil)
	logger := slog.New(slog.DiscardHandler)
	return &testPlatform{
		server: server,
		url:    web.URL,
		store:  declarations.NewStore(declarations.Options{}, table, clock.Real{}, logger, prometheus.NewRegistry()),
	}
}

// declare puts objects in batches, one edit each, and returns the last revision.
func (s *testPlatform) declare(t *testing.T, objects []*pb.Object) uint64 {
	t.Helper()
	const batchSize = 4000
	revision := uint64(0)
	for len(objects) > 0 {
		n := min(batchSize, len(objects))
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

// platformSettings returns the settings section for the platform's clients.
func (s *testPlatform) platformSettings() string {
	return fmt.Sprintf("[platform]\ntable_url = %[1]s\nobjects_url = %[1]s\nhosts_url = %[1]s\n", s.url)
}

func (s *testPlatform) entrySettings(id string, extra string) string {
	return fmt.Sprintf("[entry]\nid = %s\nfailure_domain = %s\nlisten = 127.0.0.1:0\noperator_listen = 127.0.0.1:0\n\n%s\n%s",
		id, domainName(0), s.platformSettings(), extra)
}

func (s *testPlatform) agentSettings(i int, engineURL string) string {
	return fmt.Sprintf("[agent]\nhost = %s\nfailure_domain = %s\nlisten = 127.0.0.1:0\n\n[endpoint]\nkind = engine\nname = %s\nurl = %s\n"+
		"labels = accelerator=%s, pool=pool-%d, rack=rack-%04d\nchecks_fencing = true\n\n%s",
		hostName(i), domainName(i), engineName(i), engineURL, engineLabels(i)["accelerator"], i%7, i/16, s.platformSettings())
}

// traffic is the kernel's counts of the traffic on TCP connections.
type traffic struct {
	// in and out are the received and the acknowledged payload bytes. segments is the number of TCP segments in both
	// directions, including pure acknowledgements.
	in, out, segments float64
}

// headerBytes is the size of a segment's IPv4 and TCP headers with the timestamp option.
const headerBytes = 52

// onWire returns the bytes of both directions including headers.
func (t traffic) onWire() float64 { return t.in + t.out + headerBytes*t.segments }

func (t traffic) minus(o traffic) traffic {
	return traffic{in: t.in - o.in, out: t.out - o.out, segments: t.segments - o.segments}
}

// conns is a set of connections whose traffic is counted.
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

// relay is a TCP proxy that counts the traffic of its connections to the target.
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
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forward(client)
		}
	}()
	return r
}

// forward copies data in both directions until either side closes.
func (r *relay) forward(client net.Conn) {
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	r.conns.add(upstream)
	go func() {
		_, _ = io.Copy(client, upstream)
		_ = client.Close()
	}()
	_, _ = io.Copy(upstream, client)
	_ = upstream.Close()
}

// eventually waits until a condition holds.
func eventually(tb testing.TB, timeout time.Duration, what string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("timed out after %v waiting for: %s", timeout, what)
		}
	}
}
