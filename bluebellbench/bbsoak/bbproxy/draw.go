package bbproxy

import (
	"math/rand/v2"
	"time"
)

// DrawImpairment draws an impairment of a proxy and returns it with its name in fault names.
func DrawImpairment(random *rand.Rand) (Impairment, string) {
	switch random.IntN(4) {
	case 0:
		return Impairment{Delay: time.Duration(random.IntN(300)) * time.Millisecond}, "delay"
	case 1:
		return Impairment{Reset: true}, "reset"
	case 2:
		return Impairment{StallReplies: true}, "stalled replies"
	}
	return Impairment{Stall: true}, "stall"
}
