// Package scanner reads JSON with comments strictly and collects every fault
// of a text with its line and column, so that an operator can correct a file
// in one pass.
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
	// maxDepth is the deepest nesting that is parsed. The parser recurses, so
	// a text of opening brackets alone could otherwise exhaust the stack.
	maxDepth = 32
	// maxFaults bounds the report on a text that is wrong throughout.
	maxFaults = 100
)

// Scanner holds one text and the faults found in it so far.
type Scanner struct {
	name     string
	text     []byte
	faults   []Fault
	warnings []Fault
	dropped  int
}

// Parse parses text, which is JSON with comments and trailing commas. The
// returned node is the zero Node when the text cannot be parsed; its methods
// then report nothing further. Name is used in error texts only.
func Parse(name string, text []byte) (*Scanner, Node) {
	return parse(name, text, false)
}

// ParseStandard is Parse for JSON without comments and trailing commas.
func ParseStandard(name string, text []byte) (*Scanner, Node) {
	return parse(name, text, true)
}

func parse(name string, text []byte, standard bool) (*Scanner, Node) {
	s := &Scanner{name: name, text: text}
	if !utf8.Valid(text) {
		s.fault(invalidByte(text), "the text is not UTF-8")
		return s, Node{}
	}
	if at, deep := tooDeep(text); deep {
		s.fault(at, "values are nested deeper than %d levels", maxDepth)
		return s, Node{}
	}
	// The parser takes a line comment for cut off unless its line ends.
	v, err := hujson.Parse(append(text[:len(text):len(text)], '\n'))
	if err != nil {
		at, what := s.locate(err)
		s.fault(at, "%s", what)
		return s, Node{}
	}
	if standard && !v.IsStandard() {
		s.fault(nonStandard(text), "comments and trailing commas are not allowed here")
		return s, Node{}
	}
	return s, Node{scanner: s, value: &v}
}

// locate takes the position out of an error of the parser, which states it as
// text only, and returns it as an offset.
func (s *Scanner) locate(err error) (int, string) {
	what := err.Error()
	if inner := errors.Unwrap(err); inner != nil {
		what = inner.Error()
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return len(s.text), "the text ends too early"
	}
	var line, column int
	if _, e := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); e != nil {
		return 0, what
	}
	at := 0
	for ; line > 1; line-- {
		next := bytes.IndexByte(s.text[at:], '\n')
		if next < 0 {
			break
		}
		at += next + 1
	}
	return min(at+column-1, len(s.text)), what
}

// Err returns an *Error with all faults, or nil if there are none.
func (s *Scanner) Err() error {
	if len(s.faults) == 0 {
		return nil
	}
	sortFaults(s.faults)
	faults := s.faults
	if s.dropped > 0 {
		last := faults[len(faults)-1]
		last.Text = fmt.Sprintf("%d further faults are not listed", s.dropped)
		faults = append(faults[:len(faults):len(faults)], last)
	}
	return &Error{Name: s.name, Faults: faults}
}

// Warnings returns what is legal but probably not meant, ordered by position.
func (s *Scanner) Warnings() []Fault {
	sortFaults(s.warnings)
	return s.warnings
}

func (s *Scanner) fault(at int, format string, args ...any) {
	if len(s.faults) == maxFaults {
		s.dropped++
		return
	}
	s.faults = append(s.faults, s.at(at, format, args...))
}

func (s *Scanner) at(at int, format string, args ...any) Fault {
	line := 1 + bytes.Count(s.text[:at], []byte("\n"))
	start := bytes.LastIndexByte(s.text[:at], '\n') + 1
	column := 1 + utf8.RuneCount(s.text[start:at])
	return Fault{Line: line, Column: column, Text: fmt.Sprintf(format, args...)}
}

// invalidByte returns the offset of the first byte that is not UTF-8.
func invalidByte(text []byte) int {
	for at := 0; at < len(text); {
		r, size := utf8.DecodeRune(text[at:])
		if r == utf8.RuneError && size == 1 {
			return at
		}
		at += size
	}
	return len(text)
}

// tooDeep reports whether text is nested deeper than maxDepth, and where.
func tooDeep(text []byte) (int, bool) {
	depth := 0
	for at := 0; at < len(text); at++ {
		switch text[at] {
		case '"':
			at = skipString(text, at)
		case '/':
			at = skipComment(text, at)
		case '{', '[':
			depth++
			if depth > maxDepth {
				return at, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipString returns the offset of the closing quote of the string at offset
// at.
func skipString(text []byte, at int) int {
	for at++; at < len(text) && text[at] != '"'; at++ {
		if text[at] == '\\' {
			at++
		}
	}
	return at
}

// skipComment returns the offset of the last byte of the comment at offset
// at, or at if there is none.
func skipComment(text []byte, at int) int {
	rest := text[at:]
	var end int
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		end = bytes.Index(rest[2:], []byte("*/"))
		if end >= 0 {
			end += 3
		}
	default:
		return at
	}
	if end < 0 {
		return len(text)
	}
	return at + end
}

// nonStandard returns the offset of the first byte that JSON does not allow.
func nonStandard(text []byte) int {
	var syntax *json.SyntaxError
	var v any
	if errors.As(json.Unmarshal(text, &v), &syntax) {
		return max(0, int(syntax.Offset)-1)
	}
	return 0
}
