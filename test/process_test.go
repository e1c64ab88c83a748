package test

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"balsamsail/internal/childprocess"
)

// The timeouts and the interval of waits for a process.
const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is one process of the binary, which may be started more than once.
type process struct {
	t *testing.T
	// name is unique in the cluster.
	name  string
	child *childprocess.Process
	// probe is the URL that answers with status 200 once the process is ready.
	probe    string
	downtime downtimes
}

// downtimes are the periods in which a process could not answer, because the test had killed, stopped or frozen it.
type downtimes struct {
	mu    sync.Mutex
	spans []span
}

// span is the time from begin to end; end is zero while the span is open.
type span struct{ begin, end time.Time }

func (a *downtimes) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.spans); n > 0 && a.spans[n-1].end.IsZero() {
		return
	}
	a.spans = append(a.spans, span{begin: time.Now()})
}

func (a *downtimes) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.spans); n > 0 && a.spans[n-1].end.IsZero() {
		a.spans[n-1].end = time.Now()
	}
}

// overlaps reports whether the process was down at any time from begin to end.
func (a *downtimes) overlaps(begin, end time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.spans {
		if s.begin.Before(end) && (s.end.IsZero() || s.end.After(begin)) {
			return true
		}
	}
	return false
}

// newProcess returns a process that is not started yet. It is killed at the end of the test.
func newProcess(t *testing.T, dir, name, probe string, args ...string) *process {
	child := &childprocess.Process{Name: name, Args: args, Log: filepath.Join(dir, name+".log")}
	p := &process{t: t, name: name, child: child, probe: probe}
	t.Cleanup(p.kill)
	return p
}

// start starts the process if it isn't running, without waiting until it is ready.
func (p *process) start() {
	p.t.Helper()
	binary, err := buildBinary()
	if err != nil {
		p.t.Fatal(err)
	}
	p.child.Path = binary
	if err := p.child.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// awaitReady waits until the process is ready.
func (p *process) awaitReady() {
	p.t.Helper()
	exited := p.child.Exited()
	deadline := time.Now().Add(readyTimeout)
	last := "no answer"
	for time.Now().Before(deadline) {
		status, body := probe(p.probe)
		if status == http.StatusOK {
			p.downtime.end()
			return
		}
		if body != "" {
			last = body
		}
		select {
		case <-exited:
			p.t.Fatalf("%s exited before it was ready: %v", p.name, p.child.ExitError())
		case <-time.After(pollInterval):
		}
	}
	p.t.Fatalf("%s is not ready after %v: %s", p.name, readyTimeout, last)
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// probe sends one GET request and returns the status and body of the answer; status 0 means no answer.
func probe(url string) (int, string) {
	response, err := probeClient.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	return response.StatusCode, strings.TrimSpace(string(body))
}

// signal sends a signal to the process and reports whether it is running.
func (p *process) signal(s syscall.Signal) bool { return p.child.Signal(s) }

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.downtime.begin()
	p.child.Kill()
}

// stop sends SIGTERM, waits until the process has exited and returns its exit error, nil for exit code 0.
func (p *process) stop() error {
	p.t.Helper()
	if !p.signal(syscall.SIGTERM) {
		p.t.Fatalf("%s is not running", p.name)
	}
	exited := p.child.Exited()
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		p.t.Errorf("%s has not stopped after %v", p.name, stopTimeout)
		p.kill()
	}
	p.downtime.begin()
	return p.child.ExitError()
}

// freeze suspends the process with SIGSTOP until thaw.
func (p *process) freeze() {
	p.t.Helper()
	p.downtime.begin()
	if !p.signal(syscall.SIGSTOP) {
		p.t.Fatalf("%s is not running", p.name)
	}
}

// thaw resumes a frozen process with SIGCONT.
func (p *process) thaw() {
	p.t.Helper()
	if !p.signal(syscall.SIGCONT) {
		p.t.Fatalf("%s is not running", p.name)
	}
	p.downtime.end()
}

// restart starts the process again and waits until it is ready.
func (p *process) restart() {
	p.t.Helper()
	p.start()
	p.awaitReady()
}

// logTail returns the last lines of the process's log.
func (p *process) logTail(lines int) string {
	data, err := os.ReadFile(p.child.Log)
	if err != nil {
		return err.Error()
	}
	all := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	return string(bytes.Join(all[max(0, len(all)-lines):], []byte("\n")))
}
