package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bluebellhall/platform/bbfakestore"
)

// object is a JSON object.
type object = map[string]any

// The zones of the deployment, each in a region of its own, and those of the seven machines.
var (
	zones        = []string{"ub-east", "tsetserleg", "khovd-central"}
	regions      = map[string]string{"ub-east": "ulaanbaatar", "tsetserleg": "arkhangai", "khovd-central": "khovd"}
	machineZones = []string{"ub-east", "ub-east", "ub-east", "tsetserleg", "tsetserleg", "khovd-central", "khovd-central"}
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// test is what a case runs on: a loopback network, the store, the machines and the workers.
type test struct {
	rec      *record
	dir      string
	network  string
	store    *bbfakestore.Store
	address  string
	machines []*machine
	mu       sync.Mutex
	cleanups []func()
	trouble  bool
}

// unable ends the case with the exit code of one that couldn't run.
func (t *test) unable(format string, arguments ...any) {
	t.rec.add("unable to run: "+format, arguments...)
	fmt.Printf("unable to run: "+format+"\n", arguments...)
	t.end()
	os.Exit(2)
}

// verdict ends the case with 1 if the rule was broken, else with 0.
func (t *test) verdict(broken bool, format string, arguments ...any) {
	word := "held"
	if broken {
		word = "broken"
	}
	text := fmt.Sprintf(format, arguments...)
	t.rec.add("rule %s: %s", word, text)
	fmt.Printf("rule %s: %s\n", word, text)
	t.end()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

func (t *test) end() {
	t.mu.Lock()
	list := t.cleanups
	t.cleanups = nil
	t.mu.Unlock()
	for i := len(list) - 1; i >= 0; i-- {
		list[i]()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(t.dir)
	}
}

func (t *test) cleanup(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cleanups = append(t.cleanups, f)
}

// newTest reserves a loopback network and starts the store.
func newTest(recordPath string) *test {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	t := &test{
		rec:     &record{file: file, began: time.Now()},
		trouble: os.Getenv("TROUBLE") != "0",
	}
	if t.dir, err = os.MkdirTemp("", "review"); err != nil {
		t.unable("%v", err)
	}
	var l net.Listener
	for i := range 5000 {
		n := (os.Getpid() + i) % 50000
		t.network = fmt.Sprintf("127.%d.%d", 1+n/250, 1+n%250)
		if l, err = net.Listen("tcp", t.network+".250:8624"); err == nil {
			break
		}
	}
	if err != nil {
		t.unable("no free loopback network: %v", err)
	}
	t.store = bbfakestore.NewStore(500)
	t.address = l.Addr().String()
	server := &http.Server{Handler: t.store}
	go func() { _ = server.Serve(l) }()
	t.cleanup(func() { _ = server.Close() })
	t.rec.add("store at %s, trouble %t", t.address, t.trouble)
	return t
}

func (t *test) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		t.unable("%s: %v", key, err)
	}
	t.store.Put(key, string(data))
}

// machine is a machine of the system, with one process of the program.
type machine struct {
	test             *test
	name, zone, ip   string
	peer, peerListen string
	seeds            []string
	mu               sync.Mutex
	command          *exec.Cmd
	exited           chan struct{}
	boots            int
}

func (m *machine) front() string { return m.ip + ":8625" }

// addMachine adds a machine that isn't started yet.
func (t *test) addMachine(zone string) *machine {
	n := len(t.machines) + 1
	m := &machine{
		test: t,
		name: fmt.Sprintf("edge-%s-%d", zone, n),
		zone: zone,
		ip:   fmt.Sprintf("%s.%d", t.network, n),
	}
	m.peer = m.ip + ":8628"
	t.machines = append(t.machines, m)
	return m
}

// settings are the settings file of the process, as the deploy page shows it.
func (m *machine) settings() string {
	lines := []string{
		"nodeName=" + m.name, "role=entry", "machineClass=edge", "serves=edge,control,registry",
		"ip=" + m.ip, "zone=" + m.zone, "region=" + regions[m.zone],
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"="+regions[z])
	}
	lines = append(lines,
		"listen.frontend="+m.front(), "listen.readiness="+m.ip+":8621", "listen.controlPlane="+m.peer, "listen.directory="+m.ip+":8620",
		"portRange=7740,7755", "seeds="+strings.Join(m.seeds, ","), "bootstrap=true", "countsAsLoss=false",
		"limits.cpuQuota=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=registry", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=1",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=4000", "bounds.ackMs=5000", "bounds.catchUpS=4", "bounds.drainMs=2500",
		"bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2500", "bounds.rollbackSlackMs=250", "bounds.outerMs=6000",
		"bounds.strictRevocation=false", "bounds.revokeMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.retryWindowS=10", "bounds.budgetSlack=54",
		"bounds.coldOverrun=1.5", "bounds.coldTolerance=5", "bounds.evacuateMs=5000", "bounds.recoveryS=12", "bounds.deliveryLagMs=250",
		"bounds.reuseWindowS=9.3", "bounds.ttl_max_s=5",
		"platform.address="+m.test.address, "platform.form=read", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.ttlMinMs=1000")
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.boots++
	path := filepath.Join(m.test.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		m.test.unable("%v", err)
	}
	log, err := os.Create(filepath.Join(m.test.dir, fmt.Sprintf("%s-%d.log", m.name, m.boots)))
	if err != nil {
		m.test.unable("%v", err)
	}
	defer log.Close()
	var arguments []string
	if m.peerListen != "" {
		arguments = []string{"--peer-listen", m.peerListen}
	}
	c := exec.Command("target/bluebellhall", arguments...)
	c.Stdout, c.Stderr = log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BLUEBELLHALL_NODE_FILE=" + path}
	// The kernel ends the process with this one, so that none is left running.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		m.test.unable("start of %s: %v", m.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	m.command, m.exited = c, exited
	if m.boots == 1 {
		m.test.cleanup(func() {
			m.signal(syscall.SIGCONT)
			m.kill()
		})
	}
	m.test.rec.add("%s starts, boot %d", m.name, m.boots)
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.command.Process.Signal(s)
}

// running reports whether the process runs.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// ready reports whether the machine says that it is ready.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + m.ip + ":8621/bluebellhall/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until machines are ready.
func (t *test) awaitReady(list ...*machine) {
	for _, m := range list {
		for end := time.Now().Add(20 * time.Second); !m.ready(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.unable("%s isn't ready", m.name)
			}
		}
	}
	t.rec.add("%d machines are ready", len(list))
}

// startAll starts seven machines, the first one ahead of the others, so that it is the oldest.
func (t *test) startAll() {
	for _, m := range t.machines {
		if m.seeds == nil {
			m.seeds = []string{t.machines[0].peer, t.machines[3].peer, t.machines[5].peer}
		}
	}
	for i, m := range t.machines {
		m.start()
		if i == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	t.awaitReady(t.machines...)
}
