package bbspeed

// Summary is the slowness of several endpoints. The zero value is of none.
type Summary struct {
	// Endpoints is their number, Sum the sum of their slowness, and Max the largest; both are 0 if there are none.
	Endpoints int
	Sum, Max  float64
}

// Add adds an endpoint.
func (s *Summary) Add(slowness float64) {
	s.Endpoints++
	s.Sum += slowness
	s.Max = max(s.Max, slowness)
}

// Mean returns the mean slowness; 0 if there are no endpoints.
func (s Summary) Mean() float64 {
	return s.Sum / float64(max(1, s.Endpoints))
}
