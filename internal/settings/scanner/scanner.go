// Package scanner reads JSON with comments. It refuses unknown fields, repeated
// names and values of the wrong type, and collects all faults of a text with line
// and column, so that an operator can correct a file in one pass.
package scanner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

const (
	// maxDepth is the deepest nesting that is parsed. The parser is recursive, so
	// a text of many opening brackets could otherwise exhaust the stack.
	maxDepth = 32
	// maxFaults bounds the number of faults that are listed for a text that is
	// faulty throughout.
	maxFaults = 100
)

// Scanner holds one text and the faults and warnings found in it so far.
type Scanner struct {
	// name stands for the text in errors.
	name string
	// text is the text as it was passed to Parse.
	text []byte
	// faults holds at most maxFaults faults.
	faults []Fault
	// warnings are about valid values that are probably a mistake.
	warnings []Fault
	// omittedFaults counts the faults beyond maxFaults.
	omittedFaults int
}

// Parse parses text, which is JSON with comments and trailing commas. The
// returned node is the zero Node if the text cannot be parsed, so that reading it
// adds no further faults. The name stands for the text in errors.
func Parse(name string, text []byte) (*Scanner, Node) {
	return parse(name, text, false)
}

// ParseStandardJSON is Parse for JSON without comments and trailing commas.
func ParseStandardJSON(name string, text []byte) (*Scanner, Node) {
	return parse(name, text, true)
}

// parse parses text, without allowing comments and trailing commas if standardOnly
// is set.
func parse(name string, text []byte, standardOnly bool) (*Scanner, Node) {
	s := &Scanner{name: name, text: text}
	if !utf8.Valid(text) {
		s.addFault(invalidUTF8Offset(text), "the text is not UTF-8")
		return s, Node{}
	}
	if offset, deep := excessNestingOffset(text); deep {
		s.addFault(offset, "values are nested deeper than %d levels", maxDepth)
		return s, Node{}
	}
	// The parser takes a line comment at the end of the text for unfinished
	// unless a line break follows.
	v, err := hujson.Parse(append(text[:len(text):len(text)], '\n'))
	if err != nil {
		offset, message := s.parseErrorPosition(err)
		s.addFault(offset, "%s", message)
		return s, Node{}
	}
	if standardOnly && !v.IsStandard() {
		s.addFault(nonStandardOffset(text), "comments and trailing commas are not allowed here")
		return s, Node{}
	}
	return s, Node{scanner: s, value: &v}
}

// parseErrorPosition returns the offset and the message of an error of the parser,
// which states the position only as part of its text.
func (s *Scanner) parseErrorPosition(err error) (int, string) {
	message := err.Error()
	if inner := errors.Unwrap(err); inner != nil {
		message = inner.Error()
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return len(s.text), "the text ends too early"
	}
	var line, column int
	if _, e := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); e != nil {
		return 0, message
	}
	offset := 0
	for ; line > 1; line-- {
		next := bytes.IndexByte(s.text[offset:], '\n')
		if next < 0 {
			break
		}
		offset += next + 1
	}
	return min(offset+column-1, len(s.text)), message
}

// Err returns an *Error with all faults, or nil if there are none.
func (s *Scanner) Err() error {
	if len(s.faults) == 0 {
		return nil
	}
	sortFaults(s.faults)
	faults := s.faults
	if s.omittedFaults > 0 {
		last := faults[len(faults)-1]
		last.Text = fmt.Sprintf("%d further faults are not listed", s.omittedFaults)
		faults = append(faults[:len(faults):len(faults)], last)
	}
	return &Error{Name: s.name, Faults: faults}
}

// Warnings returns the warnings about valid values that are probably a mistake,
// ordered by position.
func (s *Scanner) Warnings() []Fault {
	sortFaults(s.warnings)
	return s.warnings
}

// addFault adds a fault at a byte offset, or only counts it beyond maxFaults.
func (s *Scanner) addFault(offset int, format string, args ...any) {
	if len(s.faults) == maxFaults {
		s.omittedFaults++
		return
	}
	s.faults = append(s.faults, s.newFault(offset, format, args...))
}

// newFault returns a fault or a warning whose position is a byte offset.
func (s *Scanner) newFault(offset int, format string, args ...any) Fault {
	line := 1 + bytes.Count(s.text[:offset], []byte("\n"))
	lineStart := bytes.LastIndexByte(s.text[:offset], '\n') + 1
	column := 1 + utf8.RuneCount(s.text[lineStart:offset])
	return Fault{Line: line, Column: column, Text: fmt.Sprintf(format, args...)}
}

// invalidUTF8Offset returns the offset of the first byte that is not valid UTF-8.
func invalidUTF8Offset(text []byte) int {
	for offset := 0; offset < len(text); {
		r, size := utf8.DecodeRune(text[offset:])
		if r == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return len(text)
}

// excessNestingOffset returns the offset of the first bracket that is nested deeper
// than maxDepth, or false if there is none.
func excessNestingOffset(text []byte) (int, bool) {
	depth := 0
	for offset := 0; offset < len(text); offset++ {
		switch text[offset] {
		case '"':
			offset = skipString(text, offset)
		case '/':
			offset = skipComment(text, offset)
		case '{', '[':
			depth++
			if depth > maxDepth {
				return offset, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipString returns the offset of the closing quote of the string that begins at
// offset.
func skipString(text []byte, offset int) int {
	for offset++; offset < len(text) && text[offset] != '"'; offset++ {
		if text[offset] == '\\' {
			offset++
		}
	}
	return offset
}

// skipComment returns the offset of the last byte of the comment that begins at
// offset, or offset itself if there is none.
func skipComment(text []byte, offset int) int {
	rest := text[offset:]
	var last int
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		last = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		last = bytes.Index(rest[2:], []byte("*/"))
		if last >= 0 {
			last += 3
		}
	default:
		return offset
	}
	if last < 0 {
		return len(text)
	}
	return offset + last
}

// nonStandardOffset returns the offset of the first byte that JSON does not allow,
// such as that of a comment.
func nonStandardOffset(text []byte) int {
	var syntax *json.SyntaxError
	var v any
	if errors.As(json.Unmarshal(text, &v), &syntax) {
		return max(0, int(syntax.Offset)-1)
	}
	return 0
}
