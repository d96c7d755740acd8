package bblog

import (
	"github.com/rs/zerolog"

	"bluebellhall/core/bbevent"
)

// Levels maps severities to log levels.
var Levels = map[bbevent.Severity]zerolog.Level{
	bbevent.SeverityInfo:    zerolog.InfoLevel,
	bbevent.SeverityWarning: zerolog.WarnLevel,
	bbevent.SeverityError:   zerolog.ErrorLevel,
}

// Logger writes numbered events as log lines.
type Logger struct {
	// Lines is the logger that writes the lines.
	Lines zerolog.Logger
}

// Event starts the line of an event; the caller adds fields and ends it with Send.
func (l Logger) Event(n bbevent.Number) *zerolog.Event {
	entry, _ := bbevent.Lookup(n)
	return l.Lines.WithLevel(Levels[entry.Severity]).Int("event", int(n)).Str(zerolog.MessageFieldName, entry.Title)
}
