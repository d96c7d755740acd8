package bbclock

import (
	"testing"
	"time"
)

// Guards against a clock of another unit or one that stands still.
func TestNow(t *testing.T) {
	const pause = 20 * time.Millisecond
	before, began := Now(), time.Now()
	time.Sleep(pause)
	passed, elapsed := Now()-before, time.Since(began)
	if passed < pause || passed > elapsed+time.Second {
		t.Errorf("%v passed in a pause of %v", passed, elapsed)
	}
}
