package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/host/gateway"
)

const helpSearch = `Send one search to an entry host and print the answer.`

// clientTimeout bounds the wait of a command for an entry host's answer.
const clientTimeout = time.Minute

// maxAnswerBytes bounds the answer of a host to a command. The hits of a search may take 16 MiB.
const maxAnswerBytes = 32 << 20

func newSearchCommand() command {
	sub := newSubcommand("search", helpSearch)
	entry := "127.0.0.1:8080"
	lane := gateway.LaneInteractive
	var archive, query, deadline string
	sub.String(&entry, "e", "entry", "Address of an entry host, IP:port.")
	sub.String(&lane, "l", "lane", "Lane: interactive or bulk.")
	sub.String(&deadline, "d", "deadline", "Deadline, for example 160ms.")
	sub.AddPositionalValue(&archive, "archive", 1, true, "Archive to search.")
	sub.AddPositionalValue(&query, "query", 2, true, "Query: JSON, or plain text.")
	return command{sub: sub, run: func(ctx context.Context) error {
		r := gateway.SearchRequest{ID: newRequestID(), Archive: archive, Lane: lane, Deadline: deadline, Query: jsonOrText(query)}
		var a gateway.SearchAnswer
		if err := postJSON(ctx, entry, "/v1/search", nil, r, &a); err != nil {
			return err
		}
		return printAnswer(a, a.Outcome, a.Reason)
	}}
}

// newRequestID returns an id for a request of the command line, made from the
// current time.
func newRequestID() string { return fmt.Sprintf("cli-%d", time.Now().UnixNano()) }

// jsonOrText returns s itself when it is JSON, else s as a JSON string.
func jsonOrText(s string) json.RawMessage {
	if json.Valid([]byte(s)) {
		return json.RawMessage(s)
	}
	data, _ := json.Marshal(s)
	return data
}

// postJSON sends body as JSON to the entry host at the address entry and decodes the
// answer, whatever its status is.
// The body is sent once: NopCloser hides the type of the reader, so that net/http
// cannot rewind it and send the request again.
func postJSON(ctx context.Context, entry, path string, header http.Header, body, answer any) error {
	if _, err := netip.ParseAddrPort(entry); err != nil {
		return errors.Wrapf(errUsage, "entry host %q is not IP:port", entry)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request to entry host")
	}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return errors.Wrap(err, "create request to entry host")
	}
	req.Header.Set("Content-Type", "application/json")
	for name, values := range header {
		req.Header[name] = values
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(errUnknown, "send request to entry host: %v", err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := decodeAnswer(res.Body, answer); err != nil {
		return errors.Wrapf(errUnknown, "decode answer of entry host with status %d: %v", res.StatusCode, err)
	}
	return nil
}

// errTooLarge means that an answer is longer than maxAnswerBytes.
var errTooLarge = errors.New("the answer is too large")

// decodeAnswer decodes the JSON value at the beginning of the answer of a host. It reads
// maxAnswerBytes at most.
func decodeAnswer(body io.Reader, answer any) error {
	limited := &io.LimitedReader{R: body, N: maxAnswerBytes}
	err := json.NewDecoder(limited).Decode(answer)
	if err != nil && limited.N <= 0 {
		return errors.Wrapf(errTooLarge, "over %d MiB", maxAnswerBytes>>20)
	}
	return err
}

// printAnswer prints the answer and returns an error with the exit code of the
// outcome unless the request ran.
func printAnswer(answer any, outcome, reason string) error {
	if err := printJSON(answer); err != nil {
		return err
	}
	switch outcome {
	case gateway.OutcomeRan:
		return nil
	case gateway.OutcomeNotRun:
		return errors.Wrap(errNotRun, reason)
	default:
		return errors.Wrap(errUnknown, reason)
	}
}

// printJSON prints v as indented JSON to standard output.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}
