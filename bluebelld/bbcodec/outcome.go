package bbcodec

import (
	"github.com/cockroachdb/errors"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/core/bbhealth"
)

// Outcome returns the outcome of an exchange with an endpoint for its health record. Info is the zero value if there
// was an error.
func Outcome(err error, info AnswerInfo) bbhealth.Outcome {
	switch {
	case errors.Is(err, bbchannel.ErrUnreachable):
		return bbhealth.OutcomeUnreachable
	case err != nil || info.OtherRequest:
		return bbhealth.OutcomeBroken
	case info.OtherEndpoint:
		return bbhealth.OutcomeMoved
	case info.NotRun:
		return bbhealth.OutcomeFull
	}
	return bbhealth.OutcomeGood
}
