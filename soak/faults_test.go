package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"balsamsail/internal/childprocess"
)

// A process that was told to stop and is ended by the signal has stopped cleanly only if it had not reported yet that it listens.
func TestCheckerOfStops(t *testing.T) {
	for _, c := range []struct {
		name, script string
		signal       syscall.Signal
		violations   int
	}{
		{"ended by the signal before it listens", "exec sleep 10", syscall.SIGTERM, 0},
		{"ended by the signal while it listens", "echo listening; exec sleep 10", syscall.SIGTERM, 1},
		{"ended by another signal before it listens", "exec sleep 10", syscall.SIGQUIT, 1},
		{"exits with an error before it listens", "exit 3", 0, 1},
		{"exits in good order", "echo listening; exit 0", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &childprocess.Process{Name: "p", Path: "/bin/sh", Args: []string{"-c", c.script}, Log: filepath.Join(t.TempDir(), "log")}
			// What an earlier start has written does not count.
			if err := os.WriteFile(p.Log, []byte("listening\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			defer p.Kill()
			if c.signal != 0 {
				time.Sleep(200 * time.Millisecond)
				p.Signal(c.signal)
			}
			<-p.Exited()
			s := &site{checker: newChecker(), states: map[string]*processState{}}
			s.checkCleanStop(&host{name: "gateway-1", process: p})
			if n := len(s.checker.violations); n != c.violations {
				t.Errorf("violations %v, want %d", s.checker.violations, c.violations)
			}
		})
	}
}
