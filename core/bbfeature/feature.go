// Package bbfeature has the operators' settings of optional behaviour: when a part is on, and the limits
// that operators set on it.
package bbfeature

// Mode says when an optional part is on.
type Mode string

const (
	// ModeAuto turns a part on where endpoints report that they share their machines with other work.
	ModeAuto Mode = "auto"
	// ModeOn turns a part on everywhere.
	ModeOn Mode = "on"
	// ModeOff turns a part off everywhere.
	ModeOff Mode = "off"
)

// Enabled reports whether a part is on. Shared is true once an endpoint of the deployment has reported the
// speed of its machine.
func (m Mode) Enabled(shared bool) bool {
	return m == ModeOn || m == ModeAuto && shared
}

// Settings are the operators' settings.
type Settings struct {
	// Waiting lets requests wait that can no longer meet their objective, instead of refusing them.
	Waiting Mode `json:"waiting"`
	// EndpointSpeed uses what endpoints report of the speed of their machines.
	EndpointSpeed Mode       `json:"endpointSpeed"`
	ExtraSends    ExtraSends `json:"extraSends"`
}

// ExtraSends configure second sends of slow idempotent requests.
type ExtraSends struct {
	Mode Mode `json:"mode"`
	// Share is the largest number of extra sends as a fraction of the requests for a service, from 0 to
	// MaxShare; 0 turns them off.
	Share float64 `json:"share"`
	// Services has the share of single services by name, in place of Share.
	Services map[string]float64 `json:"services"`
}

// MaxShare bounds the share of extra sends that operators may set.
const MaxShare = 0.5

// defaultShare is the share of extra sends without settings.
const defaultShare = 0.05

// Default returns the settings that hold without a file.
func Default() Settings {
	return Settings{
		Waiting:       ModeOff,
		EndpointSpeed: ModeAuto,
		ExtraSends: ExtraSends{
			Mode:  ModeOn,
			Share: defaultShare,
		},
	}
}

// ShareOf returns the largest share of extra sends for a service.
func (x ExtraSends) ShareOf(service string) float64 {
	if share, ok := x.Services[service]; ok {
		return share
	}
	return x.Share
}
