//go:build review

// Package kit holds the scripts of the second review and the stand-ins that they share: the
// program's own processes on loopback addresses, backend servers, clients and an operator.
//
// The program that review/build-2.sh builds runs the case that CASE names. It exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package kit

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	failure = 2
)

// caseLimit bounds the time of a case.
const caseLimit = 110 * time.Second

// cases holds the cases by the name of their folder. A case returns how often the rule was broken.
var cases = map[string]func(*run) (int, error){}

// run is one run of a case.
type run struct {
	// trouble is false if the case does without its disruption.
	trouble bool
	// folder holds the settings, the data and the logs of the processes.
	folder string

	mu     sync.Mutex
	record io.Writer
	start  time.Time
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

var errUnknownCase = errors.New("no such case")

// TestMain runs the case.
func TestMain(*testing.M) {
	code, err := runCase(os.Getenv("CASE"), os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = failure
	}
	os.Exit(code)
}

func runCase(name, path string) (code int, err error) {
	play, ok := cases[name]
	if !ok {
		return failure, errUnknownCase
	}
	record, err := os.Create(path)
	if err != nil {
		return failure, err
	}
	defer func() { err = errors.Join(err, record.Close()) }()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return failure, err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			err = errors.Join(err, os.RemoveAll(folder))
		}
	}()
	folder, err = filepath.Abs(folder)
	if err != nil {
		return failure, err
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", folder: folder, record: record, start: time.Now()}
	r.note("case %s, disruption %t", name, r.trouble)
	type outcome struct {
		breaks int
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		breaks, err := play(r)
		done <- outcome{breaks, err}
	}()
	select {
	case o := <-done:
		stopProcesses()
		if o.err != nil {
			r.note("could not run: %v", o.err)
			return failure, o.err
		}
		r.note("the rule was broken %d times", o.breaks)
		if o.breaks > 0 {
			return broken, nil
		}
		return held, nil
	case <-time.After(caseLimit):
		stopProcesses()
		return failure, errors.New("the case took too long")
	}
}
