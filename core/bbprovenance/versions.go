package bbprovenance

import "time"

const (
	// maxSilence is the longest time between two observations of a service over which its versions count as known.
	maxSilence = 3 * time.Second
	// maxServices bounds the services whose versions are observed.
	maxServices = 4096
)

// listing is what this VM has seen of the versions of one service.
type listing struct {
	// version is the only one seen since the given time; empty if there were several or none.
	version string
	since   time.Duration
	// observedAt is the time of the last observation.
	observedAt time.Duration
}

// Versions tracks since when a single version of each service has been listed. A stream that began in that time
// needs no record. Versions is not safe for concurrent use.
type Versions struct {
	services map[string]listing
}

// NewVersions returns a tracker that has seen no service.
func NewVersions() *Versions {
	return &Versions{
		services: make(map[string]listing),
	}
}

// Observe records the versions of the endpoints of a service that are listed now, with an empty one for endpoints
// that state none. It has to be called more often than every maxSilence, also without listed endpoints: those say
// nothing of another version.
func (v *Versions) Observe(now time.Duration, service string, versions []string) {
	l, known := v.services[service]
	if !known && len(v.services) >= maxServices {
		v.evict(now)
		if len(v.services) >= maxServices {
			return
		}
	}
	if !known || now-l.observedAt > maxSilence {
		l = listing{}
	}
	l.observedAt = now
	if len(versions) > 0 {
		if version := single(versions); version != l.version {
			l.version = version
			l.since = now
		}
	}
	v.services[service] = l
}

// Sole returns the version of a service if this VM has seen it and no other, without a break, for at least RecordTTL.
func (v *Versions) Sole(now time.Duration, service string) (version string, ok bool) {
	l := v.services[service]
	if l.version == "" || now-l.observedAt > maxSilence || now-l.since < RecordTTL {
		return "", false
	}
	return l.version, true
}

// evict drops the services that are no longer observed.
func (v *Versions) evict(now time.Duration) {
	for service, l := range v.services {
		if now-l.observedAt > maxSilence {
			delete(v.services, service)
		}
	}
}

// single returns the version that all entries of a list state; empty if they differ.
func single(versions []string) string {
	for _, version := range versions {
		if version != versions[0] {
			return ""
		}
	}
	return versions[0]
}
