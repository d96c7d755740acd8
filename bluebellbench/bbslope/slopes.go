package bbslope

import (
	"runtime"
	"syscall"
	"time"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Sizes at which slopes are measured.
var (
	recordSizes   = []int{5_000, 10_000, 20_000, 40_000}
	requestSizes  = []int{2_000, 4_000, 8_000, 16_000}
	batchSizes    = []int{4, 16, 64, 128}
	digestSizes   = []int{0, 3, 10, 30, 100}
	entryVMSizes  = []int{7, 50, 150, 330}
	accountSizes  = []int{1_000, 5_000, 19_000}
	endpointSizes = []int{100, 300, 930}
)

const (
	// streamRequests is the number of completions in the slope of token batches.
	streamRequests = 200
	// idleTime is the time on the manual clock in which nothing but control runs.
	idleTime = 60 * time.Second
	// endpointsPerNode is that of the planned size, rounded.
	endpointsPerNode = 3
	// loneEndpoints is the number of endpoints in the rigs of one node.
	singleNodeEndpoints = 20
)

// Measure measures all slopes. It takes processor time of the whole process, so
// nothing else should run in it.
func Measure() ([]Slope, error) {
	var slopes []Slope
	for _, measure := range []func() ([]Slope, error){
		probeBytes, recordMemory, requestTime, batchTime, peerCosts, accountCosts, endpointMemory,
	} {
		found, err := measure()
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, found...)
	}
	return slopes, nil
}

// heap returns the live bytes of the heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// ProcessorTime returns the processor time of the process so far.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	// Only a bad argument can fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func singleNodeRig(batches int) (*rig, error) {
	return newRig(rigSettings{
		entryVMs:  1,
		endpoints: singleNodeEndpoints,
		accounts:  1,
		batches:   batches,
	})
}

// probeBytes measures the size of a probe by the digests in it.
func probeBytes() ([]Slope, error) {
	var points []Point
	for _, size := range digestSizes {
		p := bbmsg.Probe{
			From:        "entry-101",
			Incarnation: 1 << 60,
			Sequence:    1 << 20,
			State: bbmsg.NodeState{
				ListRevision:  1000,
				RulesRevision: 1000,
				RulesDigest:   1 << 60,
				Load:          100,
				Endpoints:     make([]bbmsg.EndpointDigest, size),
			},
		}
		for i := range p.State.Endpoints {
			p.State.Endpoints[i] = bbmsg.EndpointDigest{
				Name:       "endpoint-101",
				State:      bbmsg.StateWarm,
				Window:     16,
				InFlight:   10,
				Queued:     1,
				WaitMillis: 30,
				Model:      "wool-7b",
			}
		}
		data, err := cbor.Marshal(p)
		if err != nil {
			return nil, errors.Wrap(err, "encode probe")
		}
		points = append(points, Point{Size: float64(size), Cost: float64(len(data))})
	}
	return []Slope{Fit("size of a probe", "bytes", "digests in it", points)}, nil
}

// recordMemory measures the memory of a home by the records in it.
func recordMemory() ([]Slope, error) {
	var points []Point
	for _, size := range recordSizes {
		r, err := singleNodeRig(0)
		if err != nil {
			return nil, err
		}
		before := liveHeapBytes()
		if err := r.sendRequests(size, ""); err != nil {
			return nil, err
		}
		points = append(points, Point{Size: float64(size), Cost: liveHeapBytes() - before})
		runtime.KeepAlive(r)
	}
	return []Slope{Fit("memory of a home", "bytes", "records of calls, answer included", points)}, nil
}

// requestTime measures the processor time of the core by the calls.
func requestTime() ([]Slope, error) {
	var points []Point
	for _, size := range requestSizes {
		r, err := singleNodeRig(0)
		if err != nil {
			return nil, err
		}
		runtime.GC()
		before := ProcessorTime()
		if err := r.sendRequests(size, ""); err != nil {
			return nil, err
		}
		points = append(points, Point{Size: float64(size), Cost: Micros(ProcessorTime() - before)})
	}
	return []Slope{Fit("processor time of the core as home and owner", "µs", "calls", points)}, nil
}

// batchTime measures the processor time of the core by the token batches.
func batchTime() ([]Slope, error) {
	var points []Point
	for _, size := range batchSizes {
		r, err := singleNodeRig(size)
		if err != nil {
			return nil, err
		}
		runtime.GC()
		before := ProcessorTime()
		if err := r.sendRequests(streamRequests, "chat"); err != nil {
			return nil, err
		}
		points = append(points, Point{Size: float64(size * streamRequests), Cost: Micros(ProcessorTime() - before)})
	}
	return []Slope{Fit("processor time of the core as home and owner", "µs", "token batches of 8", points)}, nil
}

// peerCosts measures a node without requests by the number of entry VMs.
func peerCosts() ([]Slope, error) {
	var cpu, bytes, messages, memory []Point
	for _, size := range entryVMSizes {
		before := liveHeapBytes()
		r, err := newRig(rigSettings{
			entryVMs:  size,
			endpoints: size * endpointsPerNode,
			accounts:  1,
		})
		if err != nil {
			return nil, err
		}
		at := float64(size)
		memory = append(memory, Point{Size: at, Cost: liveHeapBytes() - before})
		r.traffic = traffic{}
		start := ProcessorTime()
		r.advance(idleTime)
		spent := ProcessorTime() - start
		cpu = append(cpu, Point{Size: at, Cost: Micros(spent) / idleTime.Seconds()})
		bytes = append(bytes, Point{Size: at, Cost: float64(r.traffic.bytes) / idleTime.Seconds()})
		messages = append(messages, Point{Size: at, Cost: float64(r.traffic.messages) / idleTime.Seconds()})
	}
	const by = "entry VMs, with 3 endpoints each"
	return []Slope{
		Fit("processor time of control, encoding included", "µs a second", by, cpu),
		Fit("bytes of control, both ways, without framing", "bytes a second", by, bytes),
		Fit("messages of control, both ways", "messages a second", by, messages),
		Fit("memory of a node without requests", "bytes", by, memory),
	}, nil
}

// accountCosts measures the rules by the number of accounts.
func accountCosts() ([]Slope, error) {
	return rulesCosts("accounts", accountSizes, func(size int) rigSettings {
		return rigSettings{accounts: size, endpoints: singleNodeEndpoints}
	})
}

// endpointMemory measures the rules by the number of endpoints.
func endpointMemory() ([]Slope, error) {
	return rulesCosts("endpoints", endpointSizes, func(size int) rigSettings {
		return rigSettings{accounts: 1, endpoints: size}
	})
}

// rulesCosts measures memory and text of the rules by the number of what they name.
func rulesCosts(by string, sizes []int, settings func(size int) rigSettings) ([]Slope, error) {
	var memory, text []Point
	for _, size := range sizes {
		rules := rulesText(settings(size))
		before := liveHeapBytes()
		index, err := indexOf(rules)
		if err != nil {
			return nil, err
		}
		memory = append(memory, Point{Size: float64(size), Cost: liveHeapBytes() - before})
		runtime.KeepAlive(index)
		text = append(text, Point{Size: float64(size), Cost: float64(len(rules))})
	}
	return []Slope{
		Fit("memory of the rules, without their text", "bytes", by, memory),
		Fit("text of the rules", "bytes", by, text),
	}, nil
}

func indexOf(text string) (*bbrule.Index, error) {
	rules, findings := bbrule.Parse(text)
	if len(findings) > 0 {
		return nil, errors.Newf("rules of a slope: %s", findings[0])
	}
	return bbrule.NewIndex(rules), nil
}

// Micros returns a time in microseconds.
func Micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}
