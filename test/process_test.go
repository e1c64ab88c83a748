package test

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The bounds of waits for a process.
const (
	readyPatience = 20 * time.Second
	stopPatience  = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// process is one process of the binary, over all its starts.
type process struct {
	t *testing.T
	// name is unique in the cluster.
	name string
	args []string
	// probe is a URL that answers with 200 once the process is ready.
	probe string
	log   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	exit    error
	frozen  bool
	absence absences
}

// absences are the times for which a process could not answer, because a test had killed, stopped or frozen it.
type absences struct {
	mu    sync.Mutex
	spans []span
}

// span is a time from begin to end; a zero end is still to come.
type span struct{ begin, end time.Time }

func (a *absences) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.spans); n > 0 && a.spans[n-1].end.IsZero() {
		return
	}
	a.spans = append(a.spans, span{begin: time.Now()})
}

func (a *absences) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.spans); n > 0 && a.spans[n-1].end.IsZero() {
		a.spans[n-1].end = time.Now()
	}
}

// overlaps reports whether the process was away at any time from begin to end.
func (a *absences) overlaps(begin, end time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.spans {
		if s.begin.Before(end) && (s.end.IsZero() || s.end.After(begin)) {
			return true
		}
	}
	return false
}

// newProcess describes a process; start starts it. When the test ends it is killed, whatever its state.
func newProcess(t *testing.T, dir, name, probe string, args ...string) *process {
	p := &process{t: t, name: name, args: args, probe: probe, log: filepath.Join(dir, name+".log")}
	t.Cleanup(p.kill)
	return p
}

// starter starts all processes from one thread that lives as long as the tests, because the kernel kills a child that
// was started with Pdeathsig when the thread that started it ends.
var starter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// start starts the process, unless it runs, without waiting for it to be ready.
func (p *process) start() {
	p.t.Helper()
	if p.signal(0) {
		return
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	binary, err := buildBinary()
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(binary, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.frozen = cmd, exited, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.exit = err
		p.mu.Unlock()
		close(exited)
	}()
}

// awaitReady waits until the process is ready.
func (p *process) awaitReady() {
	p.t.Helper()
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	deadline := time.Now().Add(readyPatience)
	last := "no answer"
	for time.Now().Before(deadline) {
		status, body := probe(p.probe)
		if status == http.StatusOK {
			p.absence.end()
			return
		}
		if body != "" {
			last = body
		}
		select {
		case <-exited:
			p.t.Fatalf("%s ended before it was ready: %v", p.name, p.exit)
		case <-time.After(pollInterval):
		}
	}
	p.t.Fatalf("%s is not ready after %v: %s", p.name, readyPatience, last)
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// probe gets a URL once. Status 0 means no answer.
func probe(url string) (int, string) {
	response, err := probeClient.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	return response.StatusCode, strings.TrimSpace(string(body))
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return p.cmd.Process.Signal(s) == nil
	}
}

// kill ends the process at once and waits until it is gone.
func (p *process) kill() {
	p.absence.begin()
	if p.signal(syscall.SIGKILL) {
		<-p.exited
	}
}

// stop asks the process to stop, waits for it and returns its error, nil for a clean exit.
func (p *process) stop() error {
	p.t.Helper()
	if !p.signal(syscall.SIGTERM) {
		p.t.Fatalf("%s does not run", p.name)
	}
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(stopPatience):
		p.t.Errorf("%s has not stopped after %v", p.name, stopPatience)
		p.kill()
	}
	p.absence.begin()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exit
}

// freeze suspends the process until thaw.
func (p *process) freeze() {
	p.t.Helper()
	p.absence.begin()
	if !p.signal(syscall.SIGSTOP) {
		p.t.Fatalf("%s does not run", p.name)
	}
}

// thaw lets a frozen process go on.
func (p *process) thaw() {
	p.t.Helper()
	if !p.signal(syscall.SIGCONT) {
		p.t.Fatalf("%s does not run", p.name)
	}
	p.absence.end()
}

// restart starts the process again and waits until it is ready.
func (p *process) restart() {
	p.t.Helper()
	p.start()
	p.awaitReady()
}

// logTail returns the last lines of the process's log.
func (p *process) logTail(lines int) string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	all := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	return string(bytes.Join(all[max(0, len(all)-lines):], []byte("\n")))
}
