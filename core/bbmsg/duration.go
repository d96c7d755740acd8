package bbmsg

import "time"

// maxMillis bounds the durations in messages: one day.
const maxMillis = 24 * 60 * 60 * 1000

// Millis converts a number of milliseconds from a message to a duration. A number outside of
// the range from 0 to a day is clamped.
func Millis(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxMillis)) * time.Millisecond
}
