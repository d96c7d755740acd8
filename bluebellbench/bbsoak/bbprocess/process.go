// Package bbprocess runs entry VMs as local processes.
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

// Process is an entry VM: a sequence of processes of the program, of which at most one runs at a time.
type Process struct {
	// VM has the settings of the first start; Reload may have changed the seeds since.
	VM bbstand.VM
	// Listen is the address on which the program listens for other VMs, which connect to it through a proxy.
	Listen string
	// Program is the path of the program, Dir the directory of its logs and settings.
	Program, Dir string

	mu sync.Mutex
	// seeds are those of the last Reload, nil if there was none.
	seeds   []string
	command *exec.Cmd
	exited  chan struct{}
	boots   int
}

// Start writes the settings file and starts the program, unless it is already running.
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
		return errors.Wrap(err, "create log file")
	}
	defer func() {
		// The program has its own descriptor of the file.
		_ = log.Close()
	}()
	command := exec.CommandContext(context.Background(), p.Program, "--settings", p.settingsPath(), "--peer-listen", p.Listen)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	// The kernel kills the program if the soak test dies, so that none is left running.
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, p.VM.Name)
	}
	exited := make(chan struct{})
	go func() {
		// The log shows how the program ended.
		_ = command.Wait()
		close(exited)
	}()
	p.command, p.exited = command, exited
	return nil
}

func (p *Process) settingsPath() string {
	return filepath.Join(p.Dir, p.VM.Name+".conf")
}

// writeSettings writes the settings file; the caller holds the lock.
func (p *Process) writeSettings() error {
	vm := p.VM
	if p.seeds != nil {
		vm.Seeds = p.seeds
	}
	return errors.Wrap(os.WriteFile(p.settingsPath(), []byte(vm.Settings()), 0o600), "write settings file")
}

// Boot returns how many times the program has been started.
func (p *Process) Boot() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boots
}

// Signal sends a signal to the program, unless the program has exited.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// An error means that the program has exited.
	_ = p.command.Process.Signal(s)
}

// Reload writes the settings file with other seeds and sends SIGHUP to the program.
func (p *Process) Reload(seeds []string) error {
	p.mu.Lock()
	p.seeds = seeds
	err := p.writeSettings()
	p.mu.Unlock()
	p.Signal(syscall.SIGHUP)
	return err
}

// Wait waits until the program has exited; it returns false if the program still runs after a time.
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

// Kill kills the program and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(killTimeout)
}

// killTimeout is far longer than a killed process takes to exit.
const killTimeout = 10 * time.Second
