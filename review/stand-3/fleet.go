package main

import (
	"fmt"
	"math/rand/v2"
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

const heartbeat = 1200 * time.Millisecond

// vm is one process of the project, run with the command of the deploy file.
type vm struct {
	name, zone, region, ip string
	fleet                  *fleet

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// startedAt is the last start, stopping is true from a SIGTERM until the next start.
	startedAt time.Time
	stopping  bool
}

// contactTime is contactMs.
const contactTime = 4 * time.Second

// inTouch reports whether the VM has had no start and no SIGTERM for contactMs. Nothing else happens to VMs here.
func (v *vm) inTouch() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.stopping && time.Since(v.startedAt) > contactTime
}

// at returns the VM with a front address.
func (f *fleet) at(front string) *vm {
	for _, v := range f.vms {
		if v.front() == front {
			return v
		}
	}
	return &vm{stopping: true}
}

func (v *vm) front() string     { return v.ip + ":8625" }
func (v *vm) readiness() string { return v.ip + ":8621" }
func (v *vm) control() string   { return v.ip + ":8628" }
func (v *vm) directory() string { return v.ip + ":8620" }

// fleet is a small deployment: VMs, the store, and the folder of settings and logs.
type fleet struct {
	net   string
	dir   string
	store *store
	vms   []*vm
	zones []string
	regs  map[string]string
	began time.Time
}

// newFleet prepares a deployment with VMs in zones; zones[i] names the zone of VM i.
func newFleet(zoneOfVM []string, regions map[string]string) *fleet {
	f := &fleet{store: newStore(), regs: regions, began: time.Now()}
	for range 50 {
		f.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", f.net+".7:8624")
		if err == nil {
			_ = l.Close()
			break
		}
	}
	dir, err := os.MkdirTemp("", "bbcase")
	if err != nil {
		cannotRun("%v", err)
	}
	f.dir = dir
	atExit(func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("kept", dir)
		}
	})
	for z := range regions {
		f.zones = append(f.zones, z)
	}
	for i, z := range zoneOfVM {
		f.vms = append(f.vms, &vm{
			name: fmt.Sprintf("edge-%s-%d", z, i+1), zone: z, region: regions[z],
			ip: fmt.Sprintf("%s.%d", f.net, 40+i), fleet: f,
		})
	}
	f.store.listen(f.net + ".7:8624")
	return f
}

// settings are the lines of a settings file as the deploy page shows them, with the bounds of the small site.
func (v *vm) settings() string {
	var seeds []string
	for _, o := range v.fleet.vms[:min(3, len(v.fleet.vms))] {
		seeds = append(seeds, o.control())
	}
	lines := []string{
		"nodeName=" + v.name, "role=entry", "machineClass=edge", "serves=edge,control,registry",
		"ip=" + v.ip, "zone=" + v.zone, "region=" + v.region,
		"listen.frontend=" + v.front(), "listen.readiness=" + v.readiness(),
		"listen.controlPlane=" + v.control(), "listen.directory=" + v.directory(),
		"portRange=7740,7755", "seeds=" + strings.Join(seeds, ","), "bootstrap=true", "countsAsLoss=false",
		"limits.cpuQuota=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100",
		"limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=registry", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=1",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=4000", "bounds.ackMs=5000", "bounds.catchUpS=4",
		"bounds.drainMs=2500", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2500",
		"bounds.rollbackSlackMs=250", "bounds.outerMs=6000", "bounds.strictRevocation=false", "bounds.revokeMs=5000",
		"bounds.retryBudgetRatio=0.2", "bounds.retryWindowS=10", "bounds.budgetSlack=54", "bounds.coldOverrun=1.5",
		"bounds.coldTolerance=5", "bounds.evacuateMs=5000", "bounds.recoveryS=12", "bounds.deliveryLagMs=250",
		"bounds.reuseWindowS=9.3", "bounds.ttl_max_s=5",
		"platform.address=" + v.fleet.net + ".7:8624", "platform.form=read", "platform.writesPerS=400",
		"platform.readsPerS=2000", "platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
	}
	for z, r := range v.fleet.regs {
		lines = append(lines, "zones."+z+"="+r)
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process.
func (v *vm) start() {
	path := filepath.Join(v.fleet.dir, v.name+".conf")
	if err := os.WriteFile(path, []byte(v.settings()), 0o644); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(v.fleet.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command("target/bluebellhall")
	cmd.Dir = repo()
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BLUEBELLHALL_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", v.name, err)
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done = cmd, done
	v.startedAt, v.stopping = time.Now(), false
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	record("vm %s started pid=%d", v.name, cmd.Process.Pid)
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	if v.done != nil {
		<-v.done
	}
}

// restart does a planned stop as the platform does: SIGTERM, SIGKILL after graceS, and a start soon after the end.
func (v *vm) restart() {
	record("vm %s SIGTERM", v.name)
	v.mu.Lock()
	v.stopping = true
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	select {
	case <-v.done:
	case <-time.After(8 * time.Second):
		v.kill()
	}
	record("vm %s ended", v.name)
	time.Sleep(200 * time.Millisecond)
	v.start()
}

func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.readiness() + "/bluebellhall/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

// startAll starts all VMs and waits until they are ready.
func (f *fleet) startAll() {
	for _, v := range f.vms {
		v.start()
		atExit(v.kill)
		time.Sleep(10 * time.Millisecond)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range f.vms {
		for !v.ready() {
			if time.Now().After(deadline) {
				cannotRun("%s isn't ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	record("all %d vms ready", len(f.vms))
}

// regionsOf are three zones, each in a region of its own, as in the small sites.
func threeZones() map[string]string {
	return map[string]string{"ub-east": "ulaanbaatar", "tsetserleg": "arkhangai", "khovd-central": "khovd"}
}
