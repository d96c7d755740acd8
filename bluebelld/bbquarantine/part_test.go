package bbquarantine

import (
	"fmt"
	"testing"
	"time"

	"bluebellhall/core/bbsuspect"
)

// The parts of the prompts in the tests.
const (
	firstPart    uint64 = 101
	subjectPart  uint64 = 102
	crashingPart uint64 = 103
)

// inPartsCluster runs a test with seven VMs that exchange what they know of parts.
func inPartsCluster(t *testing.T, test func(w *cluster)) {
	t.Helper()
	inCluster(t, 7, func(w *cluster) {
		w.forParts = true
		for i := range w.vms {
			w.start(i)
		}
		test(w)
	})
}

// loseEngine lets a VM observe the loss of an engine under a prompt, after 50 ms.
func (w *cluster) loseEngine(i int, parts ...uint64) {
	time.Sleep(50 * time.Millisecond)
	v := w.vms[i]
	now := time.Since(v.began)
	w.runs++
	v.parts().RecordLoss(parts, bbsuspect.Run{
		ID:       w.runs,
		Endpoint: fmt.Sprint("e", w.runs),
		Began:    now - 50*time.Millisecond,
		Ended:    now,
	})
}

func (v *vm) parts() Parts {
	return Parts{
		Quarantine: v.Quarantine,
	}
}

// wantRefuses checks whether each VM refuses a prompt.
func (w *cluster) wantRefuses(want bool, parts ...uint64) {
	w.t.Helper()
	for _, v := range w.vms {
		if got := v.parts().Refuses(parts); got != want {
			w.t.Errorf("%s refuses a prompt with parts %v: %t, want %t", v.member.Name, parts, got, want)
		}
	}
}

// Regression: losses under prompts that share a part were not counted, since the requests weren't alike.
func TestLossesUnderOnePartAddUp(t *testing.T) {
	t.Run("at different VMs", func(t *testing.T) {
		inPartsCluster(t, func(w *cluster) {
			for i := range 3 {
				w.wantRefuses(false, uint64(10+i), crashingPart)
				w.loseEngine(i, uint64(10+i), crashingPart)
				time.Sleep(propagationTime)
			}
			w.wantRefuses(true, crashingPart)
			w.wantRefuses(true, 99, crashingPart)
			w.wantRefuses(false, 10)
		})
	})
	t.Run("VMs restart in between", func(t *testing.T) {
		inPartsCluster(t, func(w *cluster) {
			for i := range 3 {
				w.loseEngine(i, uint64(10+i), crashingPart)
				time.Sleep(propagationTime)
				w.start(i)
				time.Sleep(2 * refreshPeriod)
			}
			w.wantRefuses(true, crashingPart)
		})
	})
}

// Requests that share other parts with those that crash engines go on, whichever VM knows that these are sound.
func TestSoundPartsAreNotRefused(t *testing.T) {
	t.Run("a success before the losses, at another VM", func(t *testing.T) {
		inPartsCluster(t, func(w *cluster) {
			w.vms[6].parts().RecordSuccess([]uint64{firstPart, subjectPart}, time.Since(w.vms[6].began))
			time.Sleep(time.Second)
			for i := range 3 {
				w.loseEngine(i, firstPart, subjectPart, crashingPart)
				time.Sleep(propagationTime)
			}
			w.wantRefuses(true, crashingPart)
			w.wantRefuses(false, firstPart, subjectPart)
		})
	})
	t.Run("a success after the losses", func(t *testing.T) {
		inPartsCluster(t, func(w *cluster) {
			for i := range 3 {
				w.loseEngine(i, firstPart, crashingPart)
				time.Sleep(propagationTime)
			}
			w.wantRefuses(true, firstPart, crashingPart)
			w.wantRefuses(false, firstPart)
			w.vms[6].parts().RecordSuccess([]uint64{firstPart}, time.Since(w.vms[6].began))
			time.Sleep(propagationTime)
			w.wantRefuses(true, crashingPart)
			w.wantRefuses(false, firstPart)
		})
	})
	t.Run("losses go on for as long as a success is remembered", func(t *testing.T) {
		inPartsCluster(t, func(w *cluster) {
			for i := range 40 {
				if i%10 == 0 {
					v := w.vms[i%7]
					v.parts().RecordSuccess([]uint64{firstPart}, time.Since(v.began))
				}
				w.loseEngine(i%7, firstPart)
				w.loseEngine((i+1)%7, firstPart)
				w.loseEngine((i+2)%7, firstPart)
				time.Sleep(10 * time.Second)
				w.wantRefuses(false, firstPart)
			}
		})
	})
}

// A part is blamed for the loss of an engine only while the answer has just begun.
func TestPartsAreBlamedWhileTheAnswerBegins(t *testing.T) {
	for name, c := range map[string]struct {
		sinceFirstEvent time.Duration
		want            bool
	}{
		"before the first event":       {0, true},
		"just after the first event":   {beginningTime - 1, true},
		"after the answer had gone on": {beginningTime, false},
	} {
		t.Run(name, func(t *testing.T) {
			inPartsCluster(t, func(w *cluster) {
				q := Quarantines{
					Contents: New(w.vms[0].hooks),
					Parts:    w.vms[0].parts(),
				}
				for i := range uint64(3) {
					time.Sleep(time.Second)
					now := time.Since(w.vms[0].began)
					q.RecordLoss(Lost{
						Run: bbsuspect.Run{
							ID:       i + 1,
							Endpoint: fmt.Sprint("e", i),
							Began:    now - time.Millisecond,
							Ended:    now,
						},
						Parts:           []uint64{crashingPart},
						SinceFirstEvent: c.sinceFirstEvent,
					})
				}
				time.Sleep(propagationTime)
				w.wantRefuses(c.want, crashingPart)
			})
		})
	}
}
