package delegator

import (
	"net/http"
	"slices"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/relayer"
)

// encodeRequest returns the message for a request at the time now.
func encodeRequest(r relayer.Request, now time.Time, nonce uint64) *messenger.ForwardRequest {
	m := &messenger.ForwardRequest{
		Nonce: nonce, Table: r.Table, Id: r.ID, Method: r.Method, Target: r.Target, Path: r.Path, Host: r.Host, HostHeader: r.HostHeader,
		Header: encodeHeader(r.Header), Body: r.Body, Elapsed: durationpb.New(now.Sub(r.Received)), Transit: durationpb.New(r.TransitTime),
		Counted: r.Counted, Account: r.Account,
	}
	if !r.Deadline.IsZero() {
		m.Left = durationpb.New(r.Deadline.Sub(now))
	}
	return m
}

// fitsMessage reports whether a message can hold the request. Its text fields hold UTF-8
// only, while clients may send other bytes.
func fitsMessage(r relayer.Request) bool {
	for _, text := range []string{r.ID, r.Method, r.Target, r.Path, r.Host, r.HostHeader} {
		if !utf8.ValidString(text) {
			return false
		}
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, func(v string) bool { return !utf8.ValidString(v) }) {
			return false
		}
	}
	return true
}

// decodeRequest returns the request of a message that arrived at now.
func decodeRequest(m *messenger.ForwardRequest, now time.Time) relayer.Request {
	r := relayer.Request{
		ID: m.GetId(), Method: m.GetMethod(), Target: m.GetTarget(), Path: m.GetPath(), Host: m.GetHost(), HostHeader: m.GetHostHeader(),
		Header: decodeHeader(m.GetHeader()), Body: m.GetBody(), Received: now.Add(-m.GetElapsed().AsDuration()),
		TransitTime: m.GetTransit().AsDuration(), Delegated: true, Table: m.GetTable(), Counted: m.GetCounted(),
		Account: m.GetAccount(),
	}
	if m.GetLeft() != nil {
		r.Deadline = now.Add(m.GetLeft().AsDuration())
	}
	return r
}

// encodeAnswer returns the message for an answer.
func encodeAnswer(a relayer.Answer) *messenger.ForwardReply {
	return &messenger.ForwardReply{
		Reason: a.Reason.String(), Status: uint32(a.Status), Header: encodeHeader(a.Header), Body: a.Body, Stamps: a.Stamps,
		MissingParts: uint32(a.MissingParts), RetryAfter: durationpb.New(a.RetryAfter),
	}
}

// decodeReply returns the answer of a message. An answer with a status that HTTP does not define,
// which hosts of older versions take from failing servers, is none.
func decodeReply(m *messenger.ForwardReply) relayer.Answer {
	reason := reasonOf(m.GetReason())
	if reason == relayer.Served && (m.GetStatus() < 100 || m.GetStatus() > 599) {
		return relayer.Answer{Reason: relayer.Broken}
	}
	return relayer.Answer{
		Reason: reason, Status: int(m.GetStatus()), Header: decodeHeader(m.GetHeader()), Body: m.GetBody(), Stamps: m.GetStamps(),
		MissingParts: int(m.GetMissingParts()), RetryAfter: m.GetRetryAfter().AsDuration(),
	}
}

// reasonOf returns the reason with a name. An unknown one, of another version, promises
// nothing.
func reasonOf(name string) relayer.Reason {
	for r := relayer.Served; r <= relayer.ClientLeft; r++ {
		if r.String() == name {
			return r
		}
	}
	return relayer.Broken
}

func encodeHeader(h http.Header) []*messenger.HeaderField {
	var list []*messenger.HeaderField
	for name, values := range h {
		list = append(list, &messenger.HeaderField{Name: name, Values: values})
	}
	return list
}

func decodeHeader(list []*messenger.HeaderField) http.Header {
	h := make(http.Header, len(list))
	for _, f := range list {
		h[f.GetName()] = f.GetValues()
	}
	return h
}
