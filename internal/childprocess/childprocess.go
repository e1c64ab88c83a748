// Package childprocess starts and ends the processes of tests that run the product's real programs. The product itself starts
// no process.
package childprocess

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// BuildProgram builds the product's program to a path, with further flags of the go command.
func BuildProgram(path string, flags ...string) error {
	args := append([]string{"build", "-o", path}, flags...)
	output, err := exec.Command("go", append(args, "balsamsail/cmd/balsamsail")...).CombinedOutput()
	return errors.Wrapf(err, "the program does not build:\n%s", output)
}

// Process is one program, over all its starts.
type Process struct {
	// Name is unique among the processes of a test, Path the program's file and Args its arguments.
	Name string
	Path string
	Args []string
	// Log is the file to which the output of all starts is appended.
	Log string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	exit   error
}

// starter starts all processes from one thread that lives as long as the program, because the kernel kills a child that
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

// Start starts the process, unless it runs. It ends when this program does, whatever happens.
func (p *Process) Start() error {
	if p.Signal(0) {
		return nil
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
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
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.exit = err
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process and reports whether it runs.
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

// Exited is closed when the present start has ended; it is nil before the first one.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// ExitError is how the last start that ended did so; nil for a clean exit.
func (p *Process) ExitError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exit
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) {
		<-p.Exited()
	}
}
