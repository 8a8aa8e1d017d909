// Package process starts the processes of a fleet on loopback for the demo and the
// scenarios: stand-ins and entry VMs. It signals only processes that it started, by
// their process id.
package process

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a child process. Its methods may be called by any goroutine.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // result of the process; valid after done is closed
}

// launch starts cmd and collects its result in the background.
func launch(cmd *exec.Cmd) (*Process, error) {
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal. It has no effect on a process that has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.done }

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Stop sends SIGTERM and waits for the process to end. It kills the process after the
// limit and returns an error. An exit status other than 0 is also an error.
func (p *Process) Stop(limit time.Duration) error {
	p.Signal(syscall.SIGTERM)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", filepath.Base(p.cmd.Path), limit)
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w", filepath.Base(p.cmd.Path), p.err)
	}
	return nil
}

// Kill kills the process, even if it is stopped by a signal, and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}
