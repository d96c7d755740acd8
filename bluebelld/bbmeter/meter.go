// Package bbmeter counts what an entry VM does and shows it as text, one metric a line. The
// names are bounded: they are made of kinds, causes and services, never of requests.
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
	// maxNames bounds the metrics; beyond it all are counted under one name.
	maxNames = 512
	// overflowName takes what is beyond maxNames.
	overflowName = "overflow"
)

// quantiles are those that are shown of each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// Meter has the metrics of one VM.
type Meter struct {
	registry metrics.Registry
	mu       sync.Mutex
	names    map[string]bool
	// gauges are read when the metrics are shown.
	gauges map[string]func() float64
	// collectors are asked for values whose names change, such as those of services.
	collectors []func(show func(value float64, parts ...string))
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

// Time adds a duration to a histogram, which is shown in milliseconds.
func (m *Meter) Time(d time.Duration, parts ...string) {
	m.Value(d.Milliseconds(), parts...)
}

// Value adds a value to a histogram.
func (m *Meter) Value(v int64, parts ...string) {
	name := m.name(parts)
	metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewUniformSample(sampleSize)).Update(v)
}

// Gauge shows what a function returns.
func (m *Meter) Gauge(name string, read func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = read
}

// Collect shows the values that a function passes on whenever the metrics are shown.
func (m *Meter) Collect(read func(show func(value float64, parts ...string))) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.collectors = append(m.collectors, read)
}

// name joins the parts of a name, within the bound on names.
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

// WriteTo shows all metrics in the order of their names.
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
