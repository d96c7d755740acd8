// Package bbprocess runs entry VMs as processes.
package bbprocess

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/platform/bbstand"
)

// Process is an entry VM: one program after another, of which at most one runs.
type Process struct {
	// VM is as it was at first: its settings may name other seeds since.
	VM bbstand.VM
	// Listen is where the program listens for other VMs, behind their proxy.
	Listen string
	// Program is the path of the program, Dir where its logs and settings go.
	Program, Dir string

	mu sync.Mutex
	// seeds are those of the last reload, nil if there was none.
	seeds   []string
	command *exec.Cmd
	exited  chan struct{}
	boots   int
}

// Start writes the settings and starts the program, unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited != nil {
		select {
		case <-p.exited:
		default:
			return nil
		}
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	p.boots++
	log, err := os.Create(filepath.Join(p.Dir, fmt.Sprintf("%s-%d.log", p.VM.Name, p.boots)))
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() {
		// The program has a descriptor of its own.
		_ = log.Close()
	}()
	command := exec.CommandContext(context.Background(), p.Program, "--settings", p.settingsPath(), "--peer-listen", p.Listen)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	// A soak that is ended leaves no programs behind.
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, p.VM.Name)
	}
	exited := make(chan struct{})
	go func() {
		// How it ended is in its log.
		_ = command.Wait()
		close(exited)
	}()
	p.command, p.exited = command, exited
	return nil
}

func (p *Process) settingsPath() string {
	return filepath.Join(p.Dir, p.VM.Name+".conf")
}

// write writes the settings file; the caller holds the lock.
func (p *Process) writeSettings() error {
	vm := p.VM
	if p.seeds != nil {
		vm.Seeds = p.seeds
	}
	return errors.Wrap(os.WriteFile(p.settingsPath(), []byte(vm.Settings()), 0o600), "settings")
}

// Boot returns the number of the present program.
func (p *Process) Boot() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boots
}

// Signal sends a signal to the program. One that has ended by itself gets none.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The program may have ended.
	_ = p.command.Process.Signal(s)
}

// Reload changes the seeds and tells the program.
func (p *Process) Reload(seeds []string) error {
	p.mu.Lock()
	p.seeds = seeds
	err := p.writeSettings()
	p.mu.Unlock()
	p.Signal(syscall.SIGHUP)
	return err
}

// Wait waits for the end of the program; false if it still runs after a time.
func (p *Process) Wait(most time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(most):
		return false
	}
}

// Kill ends the program at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(killTimeout)
}

// killTimeout is far longer than a killed process takes to end.
const killTimeout = 10 * time.Second
