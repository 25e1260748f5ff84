package scanner

import (
	"fmt"
	"sort"
	"strings"

	"github.com/go-faster/errors"
)

// ErrInvalid matches every *Error with errors.Is.
var ErrInvalid = errors.New("invalid text")

// Fault is one fault of a text, or one warning about it, and its position. Line and
// Column count from 1, and Column counts characters, not bytes.
type Fault struct {
	Line   int
	Column int
	// Text says what is wrong at the position.
	Text string
}

// String returns the fault as "line:column: text".
func (f Fault) String() string {
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Text)
}

// Error lists the faults of one text, ordered by position. It matches ErrInvalid
// with errors.Is.
type Error struct {
	// Name is the file or the part of the API that the text came from. It may
	// be empty.
	Name   string
	Faults []Fault
}

// Error returns one line per fault, each beginning with the name if there is one.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		line := f.String()
		if e.Name != "" {
			line = e.Name + ":" + line
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid, so that errors.Is finds it.
func (e *Error) Unwrap() error { return ErrInvalid }

// Faults returns the faults that err lists, or nil if it lists none.
func Faults(err error) []Fault {
	var e *Error
	if errors.As(err, &e) {
		return e.Faults
	}
	return nil
}

// sortFaults sorts faults by position and keeps the order of those at the same one.
func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool {
		a, b := faults[i], faults[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}
