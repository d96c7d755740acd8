package bbentry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"bluebellhall/bluebelld/bblog"
	"bluebellhall/core/bbregistry"
)

// Guards against timelines that don't tell which endpoints run which version.
func TestLineOfAnEndpointNamesItsVersion(t *testing.T) {
	for version, want := range map[string]bool{"": false, "v1.1": true} {
		var lines bytes.Buffer
		e := &Entry{
			log: bblog.Logger{
				Lines: zerolog.New(&lines),
			},
			streams: &streams{},
		}
		e.endpointChanged(bbregistry.Endpoint{
			ID:      "a",
			Version: version,
		}, bbregistry.ChangeListed)
		if got := strings.Contains(lines.String(), `"version":"`+version+`"`); got != want {
			t.Errorf("line %q names a version: %v, want %v", lines.String(), got, want)
		}
	}
}
