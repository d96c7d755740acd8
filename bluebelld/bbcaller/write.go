package bbcaller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bluebellhall/core/bbmsg"
)

// tokensEvent is an event of a token stream.
type tokensEvent struct {
	Tokens []string `json:"tokens"`
	// Offset is the index of the first token.
	Offset int `json:"offset"`
}

// tokensBody is the whole answer of a pipeline that ends in an engine.
type tokensBody struct {
	Tokens []string `json:"tokens"`
	Text   string   `json:"text"`
}

// endEvent closes a token stream.
type endEvent struct {
	Refusal
	// Tokens is the number of tokens of the whole answer.
	Tokens int `json:"tokens"`
	// Body is the answer of a pipeline that does not end in an engine.
	Body json.RawMessage `json:"body,omitempty"`
}

// write writes the answers of the core until the last, and returns false when the
// caller went away before.
func (a *API) write(w http.ResponseWriter, r *http.Request, k *call, q bbmsg.CallerRequest) bool {
	timer := time.NewTimer(a.settings.AnswerTimeout)
	defer timer.Stop()
	s := &stream{
		writer: w,
		next:   q.FromOffset,
	}
	for {
		select {
		case <-k.ready:
		case <-r.Context().Done():
			return false
		case <-timer.C:
			s.finish(bbmsg.Answer{
				ID:      q.ID,
				Outcome: bbmsg.OutcomeUnknown,
				Reason:  bbmsg.ReasonSilent,
			}, q.Stream)
			return false
		}
		for _, m := range k.takeAnswers() {
			if m.Outcome != bbmsg.OutcomePending {
				s.finish(m, q.Stream)
				return true
			}
			s.tokens(m.Offset, m.Tokens)
		}
	}
}

// stream writes a token stream.
type stream struct {
	writer http.ResponseWriter
	// next is the index of the next token to write; each is written once.
	next int
	// begun is true once the head was written.
	headerWritten bool
}

// begin writes the head of a stream.
func (s *stream) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	s.writer.Header().Set("Content-Type", "text/event-stream")
	s.writer.Header().Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
}

// tokens writes the tokens that the caller does not have. The id of the event is the
// index of the next token, with which a caller resumes.
func (s *stream) tokens(offset int, tokens []string) {
	if offset > s.next || offset+len(tokens) <= s.next {
		return
	}
	e := tokensEvent{
		Tokens: tokens[s.next-offset:],
		Offset: s.next,
	}
	s.writeHeader()
	s.next += len(e.Tokens)
	data, _ := json.Marshal(e)
	_, _ = fmt.Fprintf(s.writer, "id: %d\ndata: %s\n\n", s.next, data)
	s.flush()
}

// flush sends what was written.
func (s *stream) flush() {
	_ = http.NewResponseController(s.writer).Flush()
}

// finish writes the end of an answer.
func (s *stream) finish(m bbmsg.Answer, streaming bool) {
	if !streaming {
		s.writeWhole(m)
		return
	}
	if m.Outcome != bbmsg.OutcomeAnswered && !s.headerWritten {
		writeRefusal(s.writer, m)
		return
	}
	s.tokens(m.Offset, m.Tokens)
	s.writeHeader()
	if m.Offset+len(m.Tokens) > s.next {
		m = incomplete(m)
	}
	e := endEvent{
		Refusal: refusalOf(m),
		Tokens:  s.next,
	}
	if m.Outcome == bbmsg.OutcomeAnswered {
		e.Tokens = m.Offset + len(m.Tokens)
	}
	if m.Outcome == bbmsg.OutcomeAnswered && json.Valid(m.Body) {
		e.Body = m.Body
		e.Detail = ""
	}
	data, _ := json.Marshal(e)
	_, _ = fmt.Fprintf(s.writer, "event: end\ndata: %s\n\n", data)
	s.flush()
}

// incomplete turns the end of a stream with a gap into an outcome that makes the
// caller ask again from where it is.
func incomplete(m bbmsg.Answer) bbmsg.Answer {
	return bbmsg.Answer{
		ID:      m.ID,
		Outcome: bbmsg.OutcomeUnknown,
		Reason:  bbmsg.ReasonSilent,
	}
}

// whole writes a plain answer.
func (s *stream) writeWhole(m bbmsg.Answer) {
	if m.Outcome != bbmsg.OutcomeAnswered {
		writeRefusal(s.writer, m)
		return
	}
	s.writer.Header().Set(HeaderOutcome, string(m.Outcome))
	if len(m.Tokens) > 0 {
		writeJSON(s.writer, http.StatusOK, tokensBody{
			Tokens: m.Tokens,
			Text:   strings.Join(m.Tokens, ""),
		})
		return
	}
	s.writer.Header().Set("Content-Type", "application/json")
	s.writer.WriteHeader(http.StatusOK)
	_, _ = s.writer.Write(m.Body)
}
