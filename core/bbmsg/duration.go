package bbmsg

import "time"

// maxMillis bounds the durations that messages can name: a day.
const maxMillis = 24 * 60 * 60 * 1000

// Millis returns a duration that a message names in milliseconds, from 0 to a day. A
// peer's number outside of that is taken for the nearest one inside.
func Millis(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxMillis)) * time.Millisecond
}
