// Package childprocess starts and stops processes for tests that run the real balsamsail binary. The binary itself starts no
// processes.
package childprocess

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// BuildProgram builds the balsamsail binary at path, with additional flags for go build.
func BuildProgram(path string, flags ...string) error {
	args := append([]string{"build", "-o", path}, flags...)
	output, err := exec.Command("go", append(args, "balsamsail/cmd/balsamsail")...).CombinedOutput()
	return errors.Wrapf(err, "build balsamsail:\n%s", output)
}

// Process is a child process that can be started again after it has exited.
type Process struct {
	// Name is unique among the processes of a test. Path is the program's file and Args are its arguments.
	Name string
	Path string
	Args []string
	// Log is the file to which the output of all starts is appended.
	Log string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
	// logSize is the size of the log in bytes at the last start.
	logSize int64
}

// starter returns a channel of functions that run on one OS thread, which lives as long as the program. All processes are
// started there, because the kernel kills a child with Pdeathsig when the thread that started it exits.
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

// Start starts the process unless it is running. The kernel kills it when this program exits, however that happens.
func (p *Process) Start() error {
	if p.Signal(0) {
		return nil
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, p.Name)
	}
	before, err := log.Stat()
	if err != nil {
		_ = log.Close()
		return errors.Wrap(err, p.Name)
	}
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		_ = log.Close()
		return errors.Wrap(err, p.Name)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.logSize = cmd, exited, before.Size()
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.exitErr = err
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process. It returns false if the process is not running.
func (p *Process) Signal(s syscall.Signal) bool {
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

// Pid returns the ID of the process that was started last; 0 before the first start.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Exited returns a channel that is closed when the process that was started last has exited; nil before the first start.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// ExitError returns the error of the last exit; nil for a clean one.
func (p *Process) ExitError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// EndedBeforeOutput reports whether a signal has ended the process that was started last before it had written anything.
func (p *Process) EndedBeforeOutput(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var exit *exec.ExitError
	if !errors.As(p.exitErr, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	log, err := os.Stat(p.Log)
	return ok && status.Signaled() && status.Signal() == s && err == nil && log.Size() == p.logSize
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) {
		<-p.Exited()
	}
}
