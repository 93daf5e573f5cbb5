package demonstrator

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	announceTimeout = 10 * time.Second
	stopTimeout     = 8 * time.Second
)

// Process is one process of the installation.
type Process struct {
	Name    string
	Address string // on which it listens; empty for entry daemons
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
	endOnce sync.Once
}

// start runs the program and writes its standard error to log. With announces set, it waits
// until the process prints the address on which it listens.
func start(program, name string, log io.Writer, announces bool, args ...string) (*Process, error) {
	cmd := exec.Command(program, args...)
	cmd.Stderr = log
	p := &Process{
		Name: name,
		cmd:  cmd,
		done: make(chan struct{}),
	}
	var stdout io.ReadCloser
	if announces {
		var err error
		if stdout, err = cmd.StdoutPipe(); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	// Processes must not outlive the demo, even when the demo is killed. In a session of their
	// own, they get no SIGHUP when they are stopped while the shell of the demo ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Setsid:    true,
		Pdeathsig: syscall.SIGKILL,
	}
	if err := cmd.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	address := make(chan string, 1)
	go func() {
		if announces {
			address <- readAddress(stdout)
		}
		p.err = cmd.Wait()
		close(p.done)
	}()
	if !announces {
		return p, nil
	}
	select {
	case p.Address = <-address:
	case <-time.After(announceTimeout):
	}
	if p.Address == "" {
		p.Kill()
		return nil, Error.New("%s exited or printed no address in time", name)
	}
	return p, nil
}

// readAddress reads the line "listening ADDRESS" and returns the address, or "" on failure.
func readAddress(r io.Reader) string {
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimPrefix(strings.TrimSpace(line), "listening ")
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process and does not wait for its effect.
func (p *Process) Signal(s os.Signal) error {
	return Error.Wrap(p.cmd.Process.Signal(s))
}

// Kill sends SIGKILL and waits for the end of the process.
func (p *Process) Kill() {
	p.endOnce.Do(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
	})
}

// Stop sends SIGTERM and waits for the end of the process. It returns an error if the
// process failed, or if it had to be killed because ctx ended or the wait took too long.
func (p *Process) Stop(ctx context.Context) error {
	var err error
	p.endOnce.Do(func() {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		timer := time.NewTimer(stopTimeout)
		defer timer.Stop()
		select {
		case <-p.done:
			if p.err != nil {
				err = Error.New("%s: %w", p.Name, p.err)
			}
			return
		case <-timer.C:
			err = Error.New("%s did not stop in time after SIGTERM and was killed", p.Name)
		case <-ctx.Done():
			err = Error.Wrap(ctx.Err())
		}
		_ = p.cmd.Process.Kill()
		<-p.done
	})
	return err
}
