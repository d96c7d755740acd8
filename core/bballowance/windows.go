package bballowance

import "time"

// Windows has a window for each service, created on first use. The zero value is not ready for use.
type Windows struct {
	// New returns a new window for a service that has none.
	New func() *Window
	all map[string]*Window
}

// Of returns the window of a service.
func (w *Windows) Of(service string) *Window {
	window := w.all[service]
	if window == nil {
		if w.all == nil {
			w.all = make(map[string]*Window)
		}
		window = w.New()
		w.all[service] = window
	}
	return window
}

// SetSlack sets the Slack of all existing windows.
func (w *Windows) SetSlack(slack float64) {
	for _, window := range w.all {
		window.Slack = slack
	}
}

// Left returns how many repeats each service may have now.
func (w *Windows) Left(now time.Duration) map[string]float64 {
	left := make(map[string]float64, len(w.all))
	for service, window := range w.all {
		left[service] = window.Left(now)
	}
	return left
}
