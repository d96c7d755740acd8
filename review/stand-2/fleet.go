package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The zones of the deployment, each in a region of its own, as in the smallest site file.
var zones = []string{"ub-east", "tsetserleg", "khovd-central"}

func regionOf(zone string) string { return "region-of-" + zone }

// vmZones are the zones of the seven entry VMs.
var vmZones = []int{0, 0, 0, 1, 1, 2, 2}

// fleet is a small deployment on loopback: a store, workers and entry VMs, each VM with an address of its own.
type fleet struct {
	network string
	dir     string
	base    int
	store   *store
	vms     []*vm
	links   *links
	record  *record
	ends    []func()
}

// vm is one entry VM.
type vm struct {
	name, zone, ip string
	front          string
	directory      string
	readiness      string
	peer, inner    string
	settings       string
	log            *os.File
	fleet          *fleet

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{
		file:  file,
		began: time.Now(),
	}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// cannotRun ends the program with the exit code of a case that could not run.
func cannotRun(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}

var (
	stopMu  sync.Mutex
	stopped []func()
)

// atEnd registers a clean-up function.
func atEnd(f func()) {
	stopMu.Lock()
	defer stopMu.Unlock()
	stopped = append(stopped, f)
}

// stopAll ends all that was started.
func stopAll() {
	stopMu.Lock()
	defer stopMu.Unlock()
	for i := len(stopped) - 1; i >= 0; i-- {
		stopped[i]()
	}
	stopped = nil
}

// newFleet reserves a loopback network and starts the store.
func newFleet(r *record) *fleet {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	atEnd(func() { _ = os.RemoveAll(dir) })
	f := &fleet{
		dir:    dir,
		store:  newStore(),
		links:  newLinks(),
		record: r,
	}
	var listener net.Listener
	for i := range 40000 {
		n := (os.Getpid()*7 + i) % 40000
		f.network = fmt.Sprintf("127.%d.%d", 2+n/250, 1+n%250)
		f.base = 8620
		if listener, err = net.Listen("tcp", f.network+".250:8624"); err == nil {
			break
		}
	}
	if listener == nil {
		cannotRun("no free loopback network")
	}
	server := &http.Server{
		Handler: f.store,
	}
	go func() { _ = server.Serve(listener) }()
	atEnd(func() { _ = server.Close() })
	return f
}

// addVMs prepares the seven entry VMs.
func (f *fleet) addVMs() {
	var seeds []string
	for i, z := range vmZones {
		ip := fmt.Sprintf("%s.%d", f.network, i+1)
		v := &vm{
			name:      fmt.Sprintf("edge-%s-%d", zones[z], i+1),
			zone:      zones[z],
			ip:        ip,
			front:     fmt.Sprintf("%s:%d", ip, f.base+5),
			readiness: fmt.Sprintf("%s:%d", ip, f.base+1),
			peer:      fmt.Sprintf("%s:%d", ip, f.base+8),
			inner:     fmt.Sprintf("%s:%d", ip, f.base+9),
			directory: fmt.Sprintf("%s:%d", ip, f.base),
			fleet:     f,
		}
		f.vms = append(f.vms, v)
	}
	// One seed in each zone, as in the example of the settings.
	for _, i := range []int{0, 3, 5} {
		seeds = append(seeds, f.vms[i].peer)
	}
	for _, v := range f.vms {
		lines := []string{
			"nodeName=" + v.name, "role=entry", "machineClass=edge", "serves=edge,control,registry",
			"ip=" + v.ip, "zone=" + v.zone, "region=" + regionOf(v.zone),
			"listen.frontend=" + v.front, "listen.readiness=" + v.readiness,
			"listen.controlPlane=" + v.peer, "listen.directory=" + v.directory,
			"portRange=7740,7755", "seeds=" + strings.Join(seeds, ","), "bootstrap=true", "countsAsLoss=false",
			"limits.cpuQuota=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
			"discovery=platform", "entry=registry", "heartbeatMs=1200",
			"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages",
			"bounds.contactMs=4000", "bounds.drainMs=2500", "bounds.graceS=8", "bounds.configApplyMs=2500",
			"bounds.retryBudgetRatio=0.2", "bounds.retryWindowS=10", "bounds.budgetSlack=54",
			"bounds.coldOverrun=1.5", "bounds.coldTolerance=5", "bounds.ttl_max_s=5",
			"platform.address=" + f.network + ".250:8624", "platform.form=read", "platform.readsPerS=2000", "platform.historyS=20",
		}
		for _, z := range zones {
			lines = append(lines, "zones."+z+"="+regionOf(z))
		}
		v.settings = filepath.Join(f.dir, v.name+".conf")
		if err := os.WriteFile(v.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			cannotRun("settings: %v", err)
		}
		f.links.serve(v)
	}
}

// start starts the program of a VM with the command of the deploy file. Other VMs reach it through a proxy.
func (v *vm) start() {
	v.mu.Lock()
	defer v.mu.Unlock()
	program, err := filepath.Abs("target/bluebellhall")
	if err != nil {
		cannotRun("program: %v", err)
	}
	if v.log == nil {
		if v.log, err = os.Create(filepath.Join(v.fleet.dir, v.name+".log")); err != nil {
			cannotRun("log: %v", err)
		}
	}
	c := exec.Command(program, "--peer-listen", v.inner)
	c.Env = []string{"BLUEBELLHALL_NODE_FILE=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1"}
	c.Stdout, c.Stderr = v.log, v.log
	c.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := c.Start(); err != nil {
		cannotRun("start of %s: %v", v.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	v.command, v.exited = c, exited
	v.fleet.record.line("%s started", v.name)
}

func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command == nil || v.command.Process == nil {
		return 0
	}
	return v.command.Process.Pid
}

// kill ends the program with SIGKILL and waits for its end.
func (v *vm) kill() {
	v.mu.Lock()
	c, exited := v.command, v.exited
	v.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-exited
}

func (v *vm) ready() bool {
	client := http.Client{
		Timeout: 500 * time.Millisecond,
	}
	r, err := client.Get("http://" + v.readiness + "/bluebellhall/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startVMs starts all VMs and waits until they are ready and have found each other.
func (f *fleet) startVMs() {
	atEnd(func() {
		for _, v := range f.vms {
			v.kill()
			if v.log != nil {
				_ = v.log.Close()
				if to := os.Getenv("KEEP_LOGS"); to != "" {
					keep(v, to)
				}
			}
		}
	})
	for _, v := range f.vms {
		v.start()
		// All machines start within 0.3 s of each other.
		time.Sleep(20 * time.Millisecond)
	}
	for _, v := range f.vms {
		for until := time.Now().Add(15 * time.Second); !v.ready(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(until) {
				cannotRun("%s isn't ready", v.name)
			}
		}
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(5 * time.Second)
}

// vmsOf returns the VMs of a zone, by its number.
func (f *fleet) vmsOf(zone int) []*vm {
	var list []*vm
	for i, v := range f.vms {
		if vmZones[i] == zone {
			list = append(list, v)
		}
	}
	return list
}

func keep(v *vm, to string) {
	in, err := os.Open(v.log.Name())
	if err != nil {
		return
	}
	defer in.Close()
	out, err := os.Create(filepath.Join(to, filepath.Base(v.log.Name())))
	if err != nil {
		return
	}
	defer out.Close()
	_, _ = io.Copy(out, in)
}

// listen opens an address of a worker.
func (f *fleet) workerAddress(i int) string {
	return fmt.Sprintf("%s.%d:9000", f.network, 100+i)
}

// putWorker writes the entry of a worker.
func (f *fleet) putWorker(id, service, address, zone string, slots, coldMs int, born int64) {
	f.store.put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
		"state": "ready", "coldLeftMs": coldMs, "sequence": 0, "born": born,
	})
}

// client returns a client with kept channels.
func client(channels int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: channels,
			MaxConnsPerHost:     channels,
			DisableCompression:  true,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		},
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// trouble reports whether the disruption is on.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }
