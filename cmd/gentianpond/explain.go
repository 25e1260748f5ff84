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

const helpExplain = `Print what the logs say of one request, in order of time.

The logs are read from the files, or from the standard input without any.`

// logLine is one line of a log that names the request.
type logLine struct {
	time string
	text string
}

func newExplain() command {
	sub := newSubcommand("explain", helpExplain)
	var id string
	var files []string
	sub.AddPositionalValue(&id, "request", 1, true, "Id of the request.")
	sub.StringSlice(&files, "f", "file", "File with logs; may be given several times.")
	return command{sub: sub, run: func(context.Context) error { return explain(os.Stdout, id, files) }}
}

func explain(out io.Writer, id string, files []string) error {
	var lines []logLine
	if len(files) == 0 {
		found, err := linesOf(os.Stdin, id)
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
		found, err := linesOf(f, id)
		if err := errors.Join(err, f.Close()); err != nil {
			return errors.Wrap(err, name)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Errorf("no line names request %s; plain successes are sampled, and lines beyond the rate are dropped", id)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l.text); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

// linesOf returns the lines of a log that name the request.
func linesOf(r io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		text := s.Text()
		at := strings.Index(text, "time=")
		if at < 0 || !slices.Contains(strings.Fields(text), "request="+id) {
			continue
		}
		stamp, _, _ := strings.Cut(text[at:], " ")
		lines = append(lines, logLine{time: stamp, text: text[at:]})
	}
	return lines, s.Err()
}
