// Package bbmeter collects the metrics of an entry VM and writes them as text, one metric a line. The
// number of names is bounded: they are made of kinds, causes and services, never of requests.
package bbmeter

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// sampleSize is the number of values that a histogram keeps.
	sampleSize = 512
	// maxNames bounds the metrics; further ones are counted under overflowName and their first part.
	maxNames = 512
	// overflowName is the first part of the names of metrics beyond maxNames.
	overflowName = "overflow"
)

// quantiles are the quantiles that are written for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// Meter has the metrics of one VM.
type Meter struct {
	registry metrics.Registry
	mu       sync.Mutex
	names    map[string]bool
	// gauges are read when the metrics are written.
	gauges map[string]func() float64
	// collectors are called when the metrics are written, for values whose names change, such as
	// those of services.
	collectors []func(emit func(value float64, parts ...string))
}

// NewMeter returns a meter without metrics.
func NewMeter() *Meter {
	return &Meter{
		registry: metrics.NewRegistry(),
		names:    make(map[string]bool),
		gauges:   make(map[string]func() float64),
	}
}

// Count adds one to a counter. The parts of its name are joined by dots.
func (m *Meter) Count(parts ...string) {
	metrics.GetOrRegisterCounter(m.name(parts), m.registry).Inc(1)
}

// Time adds a duration to a histogram of milliseconds.
func (m *Meter) Time(d time.Duration, parts ...string) {
	m.Value(d.Milliseconds(), parts...)
}

// Value adds a value to a histogram.
func (m *Meter) Value(v int64, parts ...string) {
	name := m.name(parts)
	metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewUniformSample(sampleSize)).Update(v)
}

// Gauge adds a gauge whose value is read by a function when the metrics are written.
func (m *Meter) Gauge(name string, read func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = read
}

// Collect adds a function that emits values whenever the metrics are written.
func (m *Meter) Collect(read func(emit func(value float64, parts ...string))) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.collectors = append(m.collectors, read)
}

// name joins the parts of a name; beyond maxNames names it returns one of the overflow names.
func (m *Meter) name(parts []string) string {
	name := strings.Join(parts, ".")
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] {
		return name
	}
	if len(m.names) >= maxNames {
		return overflowName + "." + parts[0]
	}
	m.names[name] = true
	return name
}

// WriteTo writes all metrics in the order of their names.
func (m *Meter) WriteTo(w io.Writer) (int64, error) {
	var lines []string
	m.registry.Each(func(name string, metric any) {
		switch metric := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, metric.Count()))
		case metrics.Histogram:
			lines = append(lines, histogram(name, metric.Snapshot())...)
		}
	})
	m.mu.Lock()
	gauges := make(map[string]func() float64, len(m.gauges))
	for name, read := range m.gauges {
		gauges[name] = read
	}
	collectors := m.collectors
	m.mu.Unlock()
	for name, read := range gauges {
		lines = append(lines, fmt.Sprintf("%s %g", name, read()))
	}
	for _, read := range collectors {
		read(func(value float64, parts ...string) {
			lines = append(lines, fmt.Sprintf("%s %g", m.name(parts), value))
		})
	}
	sort.Strings(lines)
	n, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return int64(n), err
}

// histogram returns the lines of a histogram.
func histogram(name string, h metrics.Histogram) []string {
	lines := []string{fmt.Sprintf("%s.count %d", name, h.Count())}
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s.p%g %.0f", name, 100*quantiles[i], v))
	}
	return lines
}
