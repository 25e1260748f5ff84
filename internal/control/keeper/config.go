package keeper

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/settings/scanner"
)

// Codes of a ChangeReply.
const (
	CodeAccepted    = "accepted"
	CodeConflict    = "conflict"
	CodeInvalid     = "invalid"
	CodeUnavailable = "unavailable"
)

const (
	// minAnswers and answerWindow say how long the answer to a change id is
	// kept at least: an answer goes only when it is older than the window and
	// there are more than minAnswers of them.
	minAnswers   = 10_000
	answerWindow = 48 * time.Hour
	// maxAnswers and maxAnswerBytes bound the answers. Beyond them answers to
	// changes that were not accepted go first, so that a client that repeats a
	// faulty change under new ids does not block the others. When only accepted
	// ones are left, changes are refused. 5,800 changes a day are expected at
	// the target size.
	maxAnswers     = 100_000
	maxAnswerBytes = 8 << 20
	// maxHistory is the number of changes that can be listed.
	maxHistory = 10_000
	// maxSection and maxDocument bound the configuration in bytes; each entry
	// host receives the document in one message.
	maxSection  = 1 << 20
	maxDocument = 8 << 20
	// maxTeams includes removed sections, whose versions are kept.
	maxTeams = 10_000
)

// config is the configuration document with its history.
type config struct {
	check    Check
	revision uint64
	// sections includes removed ones, without text: their versions are never
	// used again, so that an old change cannot match a new section.
	sections map[string]*messenger.Section
	document document
	history  []*messenger.HistoryItem
	answers  map[string]*messenger.ChangeAnswer
	// order holds the answers, oldest first.
	order []*messenger.ChangeAnswer
	bytes int
}

func newConfig(check Check) config {
	c := config{check: check, sections: map[string]*messenger.Section{}, answers: map[string]*messenger.ChangeAnswer{}}
	c.document, _ = compose(nil)
	return c
}

// change answers one change request; an accepted change is in force with the
// return.
func (c *config) change(now time.Time, r *messenger.ChangeRequest) *messenger.ChangeReply {
	if reply := c.known(r); reply != nil {
		return reply
	}
	if faults := requestFaults(r); faults != nil {
		return c.invalid(r, faults)
	}
	c.forget(now)
	if c.full() && !c.forgetRefused() {
		return c.reply(r, CodeUnavailable, scanner.Fault{Text: "too many changes in the last 48 hours"})
	}
	reply := c.evaluate(now, r)
	c.remember(now, r, reply)
	return reply
}

// known returns the answer to a request whose id was used before.
func (c *config) known(r *messenger.ChangeRequest) *messenger.ChangeReply {
	answer := c.answers[r.Id]
	if answer == nil {
		return nil
	}
	if answer.Digest != digest(r) {
		return c.reply(r, CodeInvalid, scanner.Fault{Text: "the change id was used for another change"})
	}
	reply := proto.CloneOf(answer.Reply)
	reply.Repeat = true
	return reply
}

// digest identifies the content of a request.
func digest(r *messenger.ChangeRequest) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(r.Team), r.Section} {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = d.Write(part)
	}
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, r.Version))
	return d.Sum64()
}

// requestFaults are those of the request itself, whatever the state.
func requestFaults(r *messenger.ChangeRequest) []scanner.Fault {
	var list []scanner.Fault
	text := func(what, s string) {
		if s == "" || len(s) > maxName {
			list = append(list, scanner.Fault{Text: fmt.Sprintf("%s has to have 1 to %d bytes", what, maxName)})
		}
	}
	text("change id", r.Id)
	text("team", r.Team)
	text("author", r.Author)
	if strings.ContainsFunc(r.Team, func(c rune) bool { return c < ' ' || c == '"' || c == '\\' || c > '~' }) {
		list = append(list, scanner.Fault{Text: "team has to consist of printable ASCII characters without quotes"})
	}
	if len(r.Section) > maxSection {
		list = append(list, scanner.Fault{Text: fmt.Sprintf("section is larger than %d bytes", maxSection)})
		return list
	}
	if len(r.Section) > 0 {
		list = append(list, sectionFaults(r.Section)...)
	}
	return list
}

// evaluate compares the version, checks the document as it would become and
// accepts the change.
func (c *config) evaluate(now time.Time, r *messenger.ChangeRequest) *messenger.ChangeReply {
	if r.Version != c.version(r.Team) {
		return c.reply(r, CodeConflict)
	}
	sections, document, faults := c.candidate(r)
	if faults != nil {
		return c.invalid(r, faults)
	}
	c.sections, c.document = sections, document
	c.revision++
	c.note(now, r)
	return c.reply(r, CodeAccepted)
}

// candidate is the document after a change, and its faults.
func (c *config) candidate(r *messenger.ChangeRequest) (map[string]*messenger.Section, document, []scanner.Fault) {
	current := c.sections[r.Team]
	switch {
	case len(r.Section) == 0 && c.version(r.Team) == 0:
		return nil, document{}, []scanner.Fault{{Text: "there is no such section"}}
	case current == nil && len(c.sections) >= maxTeams:
		return nil, document{}, []scanner.Fault{{Text: "there are too many sections"}}
	}
	sections := make(map[string]*messenger.Section, len(c.sections)+1)
	for team, section := range c.sections {
		sections[team] = section
	}
	sections[r.Team] = &messenger.Section{Team: r.Team, Version: current.GetVersion() + 1, Text: r.Section}
	composed, err := compose(sections)
	if err != nil {
		return nil, document{}, []scanner.Fault{{Text: err.Error()}}
	}
	if len(composed.text) > maxDocument {
		return nil, document{}, []scanner.Fault{{Text: fmt.Sprintf("document is larger than %d bytes", maxDocument)}}
	}
	return sections, composed, c.checked(composed, r.Team)
}

func (c *config) checked(d document, team string) []scanner.Fault {
	if c.check == nil {
		return nil
	}
	list := slices.Clone(c.check(d.text))
	for i, f := range list {
		list[i] = d.locate(f, team)
	}
	return list
}

// version returns the version of a section, 0 if there is none.
func (c *config) version(team string) uint64 {
	section := c.sections[team]
	if len(section.GetText()) == 0 {
		return 0
	}
	return section.Version
}

func (c *config) invalid(r *messenger.ChangeRequest, list []scanner.Fault) *messenger.ChangeReply {
	return c.reply(r, CodeInvalid, list...)
}

func (c *config) reply(r *messenger.ChangeRequest, code string, list ...scanner.Fault) *messenger.ChangeReply {
	return &messenger.ChangeReply{Code: code, Revision: c.revision, Version: c.version(r.Team), Faults: faults(list)}
}

func (c *config) note(now time.Time, r *messenger.ChangeRequest) {
	c.history = append(c.history, &messenger.HistoryItem{
		Revision: c.revision,
		Team:     r.Team,
		Version:  c.sections[r.Team].Version,
		Id:       r.Id,
		Author:   r.Author,
		Time:     timestamppb.New(now),
	})
	c.history = c.history[max(0, len(c.history)-maxHistory):]
}

func (c *config) remember(now time.Time, r *messenger.ChangeRequest, reply *messenger.ChangeReply) {
	c.keep(&messenger.ChangeAnswer{Id: r.Id, Digest: digest(r), Time: timestamppb.New(now), Reply: proto.CloneOf(reply)})
}

func (c *config) keep(answer *messenger.ChangeAnswer) {
	c.answers[answer.Id] = answer
	c.order = append(c.order, answer)
	c.bytes += proto.Size(answer)
}

// forget drops answers that are old and no longer among the newest ones.
func (c *config) forget(now time.Time) {
	for len(c.order) > minAnswers && !c.order[0].Time.AsTime().Add(answerWindow).After(now) {
		delete(c.answers, c.order[0].Id)
		c.bytes -= proto.Size(c.order[0])
		c.order[0] = nil
		c.order = c.order[1:]
	}
}

func (c *config) full() bool {
	return len(c.order) >= maxAnswers || c.bytes >= maxAnswerBytes
}

// forgetRefused drops the oldest answers to changes that were not accepted,
// a tenth of the room at a time, and reports whether there were any.
func (c *config) forgetRefused() bool {
	quota := maxAnswers / 10
	before := len(c.order)
	c.order = slices.DeleteFunc(c.order, func(a *messenger.ChangeAnswer) bool {
		if quota == 0 || a.Reply.Code == CodeAccepted {
			return false
		}
		quota--
		delete(c.answers, a.Id)
		c.bytes -= proto.Size(a)
		return true
	})
	return len(c.order) < before
}

// Preview answers a change without the log where that is final: a request
// whose id was used before, and one that is invalid in the current state. For
// any other request it returns false and the change has to be proposed. The
// caller has to have applied everything committed.
func (k *Keeper) Preview(r *messenger.ChangeRequest) (*messenger.ChangeReply, bool) {
	c := &k.config
	if reply := c.known(r); reply != nil {
		return reply, true
	}
	list := requestFaults(r)
	if list == nil && r.Version == c.version(r.Team) {
		_, _, list = c.candidate(r)
	}
	if list == nil {
		return nil, false
	}
	return c.invalid(r, list), true
}

// Revision returns the number of accepted changes.
func (k *Keeper) Revision() uint64 { return k.config.revision }

// Document returns the whole configuration document as JSON: an object with a
// section per team. It must not be modified.
func (k *Keeper) Document() []byte { return k.config.document.text }

// Sections returns the sections with the operators' own text, sorted by team.
func (k *Keeper) Sections() []*messenger.Section {
	var list []*messenger.Section
	for _, team := range teams(k.config.sections) {
		list = append(list, k.config.sections[team])
	}
	return list
}

// History returns the last changes, oldest first.
func (k *Keeper) History() []*messenger.HistoryItem { return slices.Clone(k.config.history) }
