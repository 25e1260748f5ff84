package scanner

import (
	"fmt"
	"sort"
	"strings"

	"github.com/go-faster/errors"
)

// ErrInvalid is the sentinel of every *Error.
var ErrInvalid = errors.New("invalid text")

// Fault is one fault of a text. Line and Column count from 1; Column counts
// characters, not bytes.
type Fault struct {
	Line   int
	Column int
	Text   string
}

// String returns the fault as "line:column: text".
func (f Fault) String() string {
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Text)
}

// Error lists all faults of one text, ordered by position. errors.Is reports
// true for ErrInvalid.
type Error struct {
	// Name is the file or the part of the API that the text came from; it may
	// be empty.
	Name   string
	Faults []Fault
}

// Error returns one line per fault.
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

// Unwrap returns ErrInvalid.
func (e *Error) Unwrap() error { return ErrInvalid }

// Faults returns the faults that err lists, or nil if it lists none.
func Faults(err error) []Fault {
	var e *Error
	if errors.As(err, &e) {
		return e.Faults
	}
	return nil
}

func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool {
		a, b := faults[i], faults[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}
