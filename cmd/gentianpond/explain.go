package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

const helpExplain = `Print the log lines of one request, or of all requests with one fingerprint, in
chronological order.

The logs are read from the files, or from standard input if no file is given.`

// logLine is a log line of the request.
type logLine struct {
	// timeField is the text of the time field, key included, by which lines are
	// sorted.
	timeField string
	// text is the line from its time field on.
	text string
}

// newExplainCommand returns the command that prints the log lines of one request,
// sorted by time.
func newExplainCommand() command {
	sub := newSubcommand("explain", helpExplain)
	var id string
	var files []string
	sub.AddPositionalValue(&id, "request", 1, true, "Id of the request, or a fingerprint.")
	sub.StringSlice(&files, "f", "file", "File with logs; may be given several times.")
	return command{sub: sub, run: func(context.Context) error { return explain(os.Stdout, id, files) }}
}

// explain writes the request's lines of all files to out, sorted by time.
func explain(out io.Writer, id string, files []string) error {
	var lines []logLine
	if len(files) == 0 {
		found, err := findRequestLines(os.Stdin, id)
		if err != nil {
			return errors.Wrap(err, "read standard input")
		}
		lines = found
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		found, err := findRequestLines(f, id)
		if err := errors.Join(err, f.Close()); err != nil {
			return errors.Wrap(err, name)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Errorf("no log line names request %s; successful requests are sampled, and lines over the rate limit are dropped", id)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.timeField, b.timeField) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l.text); err != nil {
			return errors.Wrap(err, "write log lines")
		}
	}
	return nil
}

// findRequestLines returns the log lines that name the request or the fingerprint. What precedes the
// time field of a line, such as a prefix, is cut off.
func findRequestLines(r io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		text := s.Text()
		start := strings.Index(text, "time=")
		named := func(field string) bool { return field == "request="+id || field == "fingerprint="+id }
		if start < 0 || !slices.ContainsFunc(strings.Fields(text), named) {
			continue
		}
		timeField, _, _ := strings.Cut(text[start:], " ")
		lines = append(lines, logLine{timeField: timeField, text: text[start:]})
	}
	return lines, s.Err()
}
