package acceptor

// headScanner finds the end of request heads in a stream of bytes. It reads them as net/http does:
// a head ends with an empty line, and lines end with a line feed with or without a carriage
// return. Bytes of bodies are scanned as well, because the first bytes of the next request may be
// read together with them; an end that is found too early does no harm.
type headScanner struct {
	// empty is true if the line has no byte yet except a carriage return at its end, and cr if
	// there is one.
	started, cr bool
	// lines is the number of lines since the last end.
	lines int
}

// next scans a byte and reports whether it ends a head.
func (s *headScanner) next(b byte) bool {
	switch {
	case b == '\n':
		end := !s.started
		s.started, s.cr = false, false
		s.lines++
		return end
	case b == '\r' && !s.started && !s.cr:
		s.cr = true
	default:
		s.started = true
	}
	return false
}

// scan scans bytes and returns the number of those up to the first end, or 0 if there is none.
func (s *headScanner) scan(b []byte) int {
	for i, v := range b {
		if s.next(v) {
			return i + 1
		}
	}
	return 0
}

// scanAll scans bytes that the HTTP server may read at once.
func (s *headScanner) scanAll(b []byte) {
	// Only the last bytes matter, and the number of lines does not.
	for _, v := range b[max(0, len(b)-4):] {
		s.next(v)
	}
	s.lines = 0
}
