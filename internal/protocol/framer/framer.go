// Package framer finds the frames in the bytes of an HTTP/2 connection (RFC 9113, section 4.1). It
// reads their headers only and changes nothing.
package framer

import "iter"

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Kind -linecomment -output=kind_string.go

// Kind is the type of a frame. The values are those of RFC 9113, section 6; there may be others.
type Kind uint8

// The types of frames.
const (
	Data         Kind = iota // data
	Headers                  // headers
	Priority                 // priority
	Reset                    // reset
	Settings                 // settings
	Push                     // push
	Ping                     // ping
	GoAway                   // goaway
	WindowUpdate             // window
	Continuation             // continuation
)

// EndStream is the flag of the last frame of its sender in a stream.
const EndStream = 1

// PrefaceBytes is the length of what a client sends before its first frame.
const PrefaceBytes = 24

// headerBytes is the length of a frame's header.
const headerBytes = 9

// Part is the header of a frame, or a piece of its payload.
type Part struct {
	Kind Kind
	// Flags are those of the frame.
	Flags uint8
	// Stream is the id of the frame's stream, 0 for the connection.
	Stream uint32
	// Start is true for the header. Bytes is the length of a piece of the payload.
	Start bool
	Bytes int
}

// Scanner follows one direction of a connection. The zero value follows what a server sends.
type Scanner struct {
	// Skip is the number of bytes before the first frame that are still to come; set it to
	// PrefaceBytes to follow what a client sends.
	Skip int
	// header holds the bytes of the header that is being read, of which there are read.
	header [headerBytes]byte
	read   int
	// part describes the frame that was begun last, and left the bytes of its payload that
	// are still to come.
	part Part
	left int
}

// Parts returns the parts of the frames in the next bytes of the connection. The scanner has
// advanced only once all of them were taken.
func (s *Scanner) Parts(b []byte) iter.Seq[Part] {
	return func(yield func(Part) bool) {
		n := min(s.Skip, len(b))
		s.Skip, b = s.Skip-n, b[n:]
		for len(b) > 0 {
			if s.left > 0 {
				n := min(s.left, len(b))
				s.left, b = s.left-n, b[n:]
				if !yield(Part{Kind: s.part.Kind, Flags: s.part.Flags, Stream: s.part.Stream, Bytes: n}) {
					return
				}
				continue
			}
			n := copy(s.header[s.read:], b)
			s.read, b = s.read+n, b[n:]
			if s.read < headerBytes {
				return
			}
			s.begin()
			if !yield(s.part) {
				return
			}
		}
	}
}

// begin decodes a complete header.
func (s *Scanner) begin() {
	h := &s.header
	s.read = 0
	s.left = int(h[0])<<16 | int(h[1])<<8 | int(h[2])
	// The highest bit of the stream's id is reserved.
	stream := uint32(h[5]&0x7f)<<24 | uint32(h[6])<<16 | uint32(h[7])<<8 | uint32(h[8])
	s.part = Part{Kind: Kind(h[3]), Flags: h[4], Stream: stream, Start: true}
}
