package bbdemo

import (
	"context"
	"sort"
	"time"
)

// step is a failure or a repair at a time since the start of the load.
type step struct {
	at  time.Duration
	run func()
}

// steps returns the steps of the demo in order, spread over the load.
func (d *demo) steps() []step {
	unit := d.settings.Duration / 10
	return []step{
		{at: 1 * unit, run: d.kill},
		{at: 2 * unit, run: d.takeOut},
		{at: 4 * unit, run: d.restart},
		{at: 5 * unit, run: d.bringBack},
		{at: 6 * unit, run: d.turnCold},
		{at: 7 * unit, run: d.drain},
	}
}

// runSteps runs each step at its time.
func (d *demo) runSteps(ctx context.Context, steps []step) {
	began := time.Now()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.at - time.Since(began)):
			s.run()
		}
	}
}

// The entry VMs that are killed and drained.
const (
	killedNode  = "entry-3"
	drainedNode = "entry-4"
)

// detectionDelay is how long the platform takes to detect that a VM is gone.
const detectionDelay = time.Second

// kill kills a node. The platform removes it from the member list after detectionDelay.
func (d *demo) kill() {
	d.cluster.Kill(killedNode)
	d.printf("%s was killed", killedNode)
	time.AfterFunc(detectionDelay, func() { d.cluster.SetListed(killedNode, false) })
}

// restart restarts the killed node with empty state.
func (d *demo) restart() {
	err := d.cluster.Restart(killedNode)
	d.cluster.SetListed(killedNode, true)
	d.printf("%s was restarted (error: %v)", killedNode, err)
}

// takeOut publishes rules that take a failure domain out of service.
func (d *demo) takeOut() {
	d.outageStart = time.Now()
	d.cluster.Fleet.Platform.PublishRules(d.rulesText + "\nout " + d.evacuatedDomain + " # demo: power work\n")
	d.printf("failure domain %s was taken out", d.evacuatedDomain)
}

// bringBack publishes the original rules, which bring the failure domain back.
func (d *demo) bringBack() {
	d.outageEnd = time.Now()
	d.cluster.Fleet.Platform.PublishRules(d.rulesText)
	d.printf("failure domain %s was brought back", d.evacuatedDomain)
}

// turnCold makes an engine cold without any sign to the nodes.
func (d *demo) turnCold() {
	name := d.engine()
	d.cluster.Fleet.Endpoints[name].TurnCold()
	d.printf("%s turned cold", name)
}

// engine returns the name of the first engine, sorted by name.
func (d *demo) engine() string {
	names := make([]string, 0, len(d.cluster.Fleet.Engines))
	for name := range d.cluster.Fleet.Engines {
		names = append(names, name)
	}
	sort.Strings(names)
	return names[0]
}

// drain drains a node.
func (d *demo) drain() {
	d.printf("%s is being drained", drainedNode)
	d.cluster.Fleet.SetLeaving(drainedNode, true)
	d.drainError = d.cluster.Drain(drainedNode, drainTimeout)
	d.cluster.SetListed(drainedNode, false)
	d.printf("%s has stopped (error: %v)", drainedNode, d.drainError)
}

// sortedKeys returns the keys of counts, sorted.
func sortedKeys(counts map[string]int) []string {
	keys := make([]string, 0, len(counts))
	for k := range counts {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
