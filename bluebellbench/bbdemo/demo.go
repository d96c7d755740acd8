// Package bbdemo runs the whole system in one process over loopback and injects failures while callers send
// pipelines and confirmations: a node is killed and restarted, a failure domain is taken out of service and
// brought back, an endpoint turns cold, a node is drained. It reports whether a guarantee was violated.
package bbdemo

import (
	"context"
	"fmt"
	"io"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebellbench/bbaudit"
	"bluebellhall/bluebellbench/bbclient"
	"bluebellhall/bluebellbench/bbcluster"
	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebelld/bbserver"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
	"bluebellhall/core/bbticket"
)

// Settings configure a demo.
type Settings struct {
	// Rules is the text of a rules file.
	Rules string
	// Rate is the number of requests a second, Duration the length of the load.
	Rate     float64
	Duration time.Duration
	// Seed is the seed of the load; equal seeds give equal loads.
	Seed uint64
	// Out receives the report.
	Out io.Writer
	// Log receives the logs of the nodes; nil discards them.
	Log io.Writer
}

// ErrGuaranteeViolated is the error of a demo in which the system violated a guarantee.
var ErrGuaranteeViolated = errors.New("a promise was broken")

const (
	// startTimeout bounds the start of the cluster.
	startTimeout = 15 * time.Second
	// drainTimeout bounds a graceful stop: the lifetime of the last tickets (addressTTL), their safety margin
	// and the handover.
	drainTimeout = 20 * time.Second
	// lastWorkTarget is the time after which a failure domain that was taken out of service gets no new work;
	// the users' specifications say a few seconds.
	lastWorkTarget = 4 * time.Second
	// warmRate is the rate of the load that warms the endpoints, in requests a second.
	warmRate = 60
	// memberLag is the delay with which the fake platform publishes changes of its member list.
	memberLag = 300 * time.Millisecond
	// warmTime is the length of the load that warms the endpoints.
	warmTime = 4 * time.Second
	// addressTTL is how long callers may use an address answer and its ticket in the demo. It is short so that
	// a drain, which waits for it, fits into the demo.
	addressTTL = "2s"
)

// demo is a running demo.
type demo struct {
	settings  Settings
	cluster   *bbcluster.Cluster
	rules     *bbrule.RuleSet
	rulesText string
	client    *bbclient.Client
	// outageStart is when the failure domain was taken out of service, outageEnd when it was brought back.
	outageStart time.Time
	outageEnd   time.Time
	// evacuatedDomain is the failure domain that is taken out of service.
	evacuatedDomain string
	// drainError is the error of the graceful stop.
	drainError error
	startedAt  time.Time
}

// Run runs a demo and writes its report. It returns ErrGuaranteeViolated if the system violated a guarantee or
// missed a target.
func Run(ctx context.Context, s Settings) error {
	d := &demo{
		settings:  s,
		rulesText: withAddressTTL(s.Rules),
		startedAt: time.Now(),
	}
	cleanup, err := d.start()
	if err != nil {
		return err
	}
	defer cleanup()
	d.printf("cluster of %d entry VMs is ready", len(d.cluster.Names()))
	if err := d.load(ctx, warmRate, warmTime, nil); err != nil {
		return err
	}
	d.printf("endpoints were warmed")
	return d.load(ctx, s.Rate, s.Duration, d.steps())
}

// withAddressTTL returns rules in which the lifetime of address answers is addressTTL.
func withAddressTTL(rules string) string {
	return addressTTLSetting.ReplaceAllString(rules, "answer="+addressTTL)
}

// addressTTLSetting matches the setting of the lifetime of address answers.
var addressTTLSetting = regexp.MustCompile(`\banswer=\S+`)

// start starts the cluster and the client.
func (d *demo) start() (func(), error) {
	rules, findings := bbrule.Parse(d.rulesText)
	if len(findings) > 0 {
		return nil, errors.Newf("rules: %s", findings[0])
	}
	d.rules = rules
	d.evacuatedDomain = rules.Domains[1].Name
	var domains []string
	for i := range 7 {
		domains = append(domains, rules.Domains[i%len(rules.Domains)].Name)
	}
	cluster, cleanup, err := bbcluster.Start(bbcluster.Settings{
		Rules: d.rulesText,
		Fleet: bbfleet.Settings{
			FreePorts: true,
			Seed:      d.settings.Seed,
			Platform: bbfleet.PlatformSettings{
				MemberLagMillis: memberLag.Milliseconds(),
			},
		},
		Domains: domains,
		Log:     d.settings.Log,
	})
	if err != nil {
		return nil, err
	}
	d.cluster = cluster
	d.rulesText = cluster.Fleet.Text
	if err := cluster.WaitReady(startTimeout, usable); err != nil {
		cleanup()
		return nil, err
	}
	client, closeClient := bbclient.New(d.nodes())
	d.client = client
	return func() {
		closeClient()
		cleanup()
	}, nil
}

// usable reports whether a node is ready and may use all endpoints that it owns.
func usable(v *bbserver.Server) bool {
	s := v.Status()
	if !s.Ready || !s.Confirmed {
		return false
	}
	for _, e := range s.Endpoints {
		if e.Window == 0 {
			return false
		}
	}
	return true
}

// nodes returns the addresses and regions of all entry VMs for the client.
func (d *demo) nodes() []bbclient.Node {
	var nodes []bbclient.Node
	for _, name := range d.cluster.Names() {
		nodes = append(nodes, bbclient.Node{
			Address: d.cluster.Address(name),
			Region:  d.cluster.Server(name).Status().Region,
		})
	}
	return nodes
}

// load sends a load, runs the steps meanwhile and reports the results. Without steps it reports nothing.
func (d *demo) load(ctx context.Context, rate float64, length time.Duration, steps []step) error {
	plan, err := bbload.Plan(bbload.PlanSettings{
		Seed:     d.settings.Seed,
		Rate:     rate,
		Duration: length,
		Kinds:    bbload.DefaultKinds(d.rules),
	})
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.runSteps(ctx, steps)
	}()
	results := bbload.Run(ctx, bbload.RunSettings{}, plan, d.client.Send)
	<-done
	if steps == nil {
		return nil
	}
	return d.report(results)
}

// printf writes a line that begins with the time since the start.
func (d *demo) printf(format string, arguments ...any) {
	line := fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintf(d.settings.Out, "%6.1f s  %s\n", time.Since(d.startedAt).Seconds(), line)
}

// report writes the results of the load and returns ErrGuaranteeViolated if a guarantee was violated or
// a target missed.
func (d *demo) report(results []bbload.Result) error {
	summary := bbload.Summarize(results)
	audit := bbaudit.Check(d.cluster.Fleet, results)
	out := d.settings.Out
	share := 100 * summary.Attainment().Share()
	_, _ = fmt.Fprintf(out, "\nrequests %d, answered completely %d, in time %.1f %%\n", audit.Requests, audit.Answered, share)
	for _, line := range outcomeLines(summary) {
		_, _ = fmt.Fprintln(out, "  "+line)
	}
	_, _ = fmt.Fprintf(out, "lost %d, doubled %d, notRun %d of which false %d, wrong answers %d, over cold capacity %d\n",
		audit.Lost, audit.DuplicateRuns, audit.NotRun, audit.FalseNotRun, audit.Wrong, audit.OverCold)
	for _, line := range audit.Details {
		_, _ = fmt.Fprintln(out, "  broken: "+line)
	}
	delay := d.lastWorkDelay()
	_, _ = fmt.Fprintf(out, "failure domain %s got its last work %.2f s after it was taken out (target %s)\n", d.evacuatedDomain, delay.Seconds(), lastWorkTarget)
	if d.drainError != nil {
		_, _ = fmt.Fprintln(out, "graceful stop:", d.drainError)
	}
	d.timeline(results)
	if audit.Violations() > 0 || delay > lastWorkTarget || d.drainError != nil {
		return ErrGuaranteeViolated
	}
	return nil
}

// outcomeLines returns a line with the number of requests for each outcome, sorted by outcome.
func outcomeLines(s bbload.Summary) []string {
	var lines []string
	for _, name := range sortedKeys(s.Outcomes) {
		lines = append(lines, fmt.Sprintf("%s: %d", name, s.Outcomes[name]))
	}
	return lines
}

// lastWorkDelay returns how long after it was taken out of service the failure domain got its last work.
func (d *demo) lastWorkDelay() time.Duration {
	last := bbaudit.LastStart(d.cluster.Fleet, d.evacuatedDomain, d.outageStart, d.outageEnd)
	return last.Sub(d.outageStart)
}

// timeline writes the events of the answered request with the most events, merged over all nodes.
func (d *demo) timeline(results []bbload.Result) {
	events := d.cluster.Events()
	id := mostEvents(events, results)
	_, _ = fmt.Fprintf(d.settings.Out, "\ntime line of %s\n", id)
	var first time.Time
	for _, e := range events {
		if e.Request != id {
			continue
		}
		if first.IsZero() {
			first = e.Stamp.Wall()
		}
		entry, _ := bbevent.Lookup(e.Number)
		_, _ = fmt.Fprintf(d.settings.Out, "  +%5d ms  %-8s %-18s stage %d attempt %d %s\n",
			e.Stamp.Wall().Sub(first).Milliseconds(), e.Node, entry.Title, e.Stage, e.Attempt,
			strings.TrimSpace(e.Endpoint+" "+e.Peer+" "+e.Detail))
	}
}

// mostEvents returns the ID of the answered request with the most events.
func mostEvents(events []bbevent.Event, results []bbload.Result) string {
	counts := make(map[string]int)
	for _, e := range events {
		counts[e.Request]++
	}
	best := ""
	for _, r := range results {
		if r.Reply.Outcome != bbmsg.OutcomeAnswered || len(r.Reply.IDs) == 0 {
			continue
		}
		id := bbticket.Redact(r.Reply.IDs[len(r.Reply.IDs)-1])
		if counts[id] > counts[best] || best == "" {
			best = id
		}
	}
	return best
}
