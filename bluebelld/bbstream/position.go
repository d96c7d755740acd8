package bbstream

// position is where in a stream of server-sent events the bytes so far end. Lines end with LF, CR or CR LF,
// and an empty line ends an event.
type position struct {
	// inLine is true if the current line isn't empty, comment if it is a comment.
	inLine, comment bool
	// hasField is true if a line of the current event has ended that isn't a comment.
	hasField bool
	// hasEvent is true if an event has ended.
	hasEvent bool
	// afterCR is true after a CR: an LF that follows belongs to the same end of line.
	afterCR bool
}

// inEvent reports whether the stream is inside an event or a line.
func (p *position) inEvent() bool {
	return p.inLine || p.hasField
}

// next advances by one byte. It returns true if the byte ends an empty line, and with it the event or the comments
// before it.
func (p *position) next(b byte) bool {
	afterCR := p.afterCR
	p.afterCR = b == '\r'
	switch {
	case b == '\n' && afterCR:
		return false
	case b != '\n' && b != '\r':
		p.comment = p.comment || !p.inLine && b == ':'
		p.inLine = true
		return false
	case p.inLine:
		p.hasField = p.hasField || !p.comment
		p.inLine = false
		p.comment = false
		return false
	}
	p.hasEvent = p.hasEvent || p.hasField
	p.hasField = false
	return true
}
