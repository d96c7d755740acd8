package bblog

import (
	"github.com/rs/zerolog"

	"bluebellhall/core/bbevent"
)

// levels maps severities to log levels.
var levels = map[bbevent.Severity]zerolog.Level{
	bbevent.SeverityInfo:    zerolog.InfoLevel,
	bbevent.SeverityWarning: zerolog.WarnLevel,
	bbevent.SeverityError:   zerolog.ErrorLevel,
}

// entries has the catalogue by number.
var entries = func() map[bbevent.Number]bbevent.Entry {
	byNumber := make(map[bbevent.Number]bbevent.Entry, len(bbevent.Catalogue))
	for _, e := range bbevent.Catalogue {
		byNumber[e.Number] = e
	}
	return byNumber
}()

// Logger writes numbered events as lines.
type Logger struct {
	// Lines takes the lines.
	Lines zerolog.Logger
}

// Event begins the line of an event; the caller adds fields and ends it with Send.
func (l Logger) Event(n bbevent.Number) *zerolog.Event {
	entry := entries[n]
	return l.Lines.WithLevel(levels[entry.Severity]).Int("event", int(n)).Str(zerolog.MessageFieldName, entry.Title)
}
