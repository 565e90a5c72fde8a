package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/carawayrack/carawayrack/platform"
)

// Process is one process of the fleet. Signals go to its own process ID only.
type Process struct {
	Node platform.Node
	// Role is the command of the program: edge for a host, core for a control
	// process.
	Role string
	// Binary is the path of the carawayrack program, Dir the folder of logs and
	// settings.
	Binary, Dir string
	// Violate records that the program has ended without being told to.
	Violate func(promise, form string, args ...any)

	// busy is held by the fault that disturbs the process.
	busy sync.Mutex

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// stopping is true once the program was told to end.
	stopping bool
}

// stopWithin bounds a planned stop. It is longer than gracePeriodS of the
// settings (6 s).
const stopWithin = 8 * time.Second

// Start starts the program with the settings of Node and appends its output to
// a log in Dir.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	base := filepath.Join(p.Dir, p.Node.Name)
	env, err := p.Node.Environment(base + ".json")
	if err != nil {
		return err
	}
	l, err := os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak.Start")
	}
	defer l.Close()
	p.cmd = exec.Command(p.Binary, p.Role, "-metrics", p.Node.IP+":9180")
	p.cmd.Env = append(os.Environ(), env)
	p.cmd.Stdout, p.cmd.Stderr = l, l
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, "soak.Start")
	}
	p.ended, p.stopping = make(chan struct{}), false
	go p.run(p.cmd, p.ended)
	return nil
}

// run waits for the end of the program.
func (p *Process) run(c *exec.Cmd, ended chan struct{}) {
	// The error is ignored: most programs end by a signal of this package, and
	// the output of the others is in the log.
	_ = c.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopping {
		p.Violate("alive", "%s ended by itself: %v", p.Node.Name, c.ProcessState)
	}
	close(ended)
}

// Signal sends a signal to the program.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = p.stopping || s == syscall.SIGKILL || s == syscall.SIGTERM
	// The error of a program that has already ended is of no interest.
	_ = p.cmd.Process.Signal(s)
}

// Kill ends the program with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.end()
}

// Stop sends SIGTERM and waits for the end of the program. It kills the program
// after stopWithin.
func (p *Process) Stop() {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.end():
	case <-time.After(stopWithin):
		p.Kill()
	}
}

func (p *Process) end() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Ended reports whether the program has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.end():
		return true
	default:
		return false
	}
}

// SetDiskFull makes writes that would make a file longer fail, or lets them succeed
// again. The log of the program is such a file too.
func (p *Process) SetDiskFull(full bool) error {
	l := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		l.Cur = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Wrap(unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &l, nil), "soak.SetDiskFull")
}

// Wipe empties the data folder of a program that has ended. The next start does
// not bootstrap.
func (p *Process) Wipe() error {
	p.Node.Bootstrap = false
	if err := os.RemoveAll(p.Node.Data); err != nil {
		return errors.Wrap(err, "soak.Wipe")
	}
	return errors.Wrap(os.MkdirAll(p.Node.Data, 0o700), "soak.Wipe")
}

// Tear appends bytes to the log files of a program that has ended, as a torn
// write leaves them.
func (p *Process) Tear(b []byte) error {
	l, err := filepath.Glob(filepath.Join(p.Node.Data, "log", "log-*"))
	if err != nil {
		return errors.Wrap(err, "soak.Tear")
	}
	for _, n := range l {
		f, err := os.OpenFile(n, os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Wrap(err, "soak.Tear")
		}
		_, err = f.Write(b)
		if e := f.Close(); err == nil {
			err = e
		}
		if err != nil {
			return errors.Wrap(err, "soak.Tear")
		}
	}
	return nil
}
