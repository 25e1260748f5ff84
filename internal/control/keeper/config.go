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
	// CodeAccepted means that the change is in the configuration.
	CodeAccepted = "accepted"
	// CodeConflict means that the request names another version of the section
	// than the current one.
	CodeConflict = "conflict"
	// CodeInvalid means that the request or the changed document has faults.
	CodeInvalid = "invalid"
	// CodeUnavailable means that no change can be accepted now: no leader took the
	// request, or the stored answers are at their limit.
	CodeUnavailable = "unavailable"
)

const (
	// The answer to a change id is dropped only when it is older than
	// changeAnswerRetention and more than minChangeAnswers are stored, so that a
	// client that resends a change gets the first answer again.
	minChangeAnswers      = 10_000
	changeAnswerRetention = 48 * time.Hour
	// maxChangeAnswers and maxChangeAnswerBytes bound the stored answers. At these
	// limits, answers to changes that were not accepted are evicted first, so that
	// a client that repeats a faulty change under new ids does not block the other
	// clients. When only answers to accepted changes are left, new changes are
	// refused. 5,800 changes a day are expected at the target size.
	maxChangeAnswers     = 100_000
	maxChangeAnswerBytes = 8 << 20
	// maxHistoryItems is the number of accepted changes that ChangeHistory returns.
	maxHistoryItems = 10_000
	// maxSectionBytes and maxDocumentBytes bound the configuration, because each
	// entry host receives the whole document in one message.
	maxSectionBytes  = 1 << 20
	maxDocumentBytes = 8 << 20
	// maxSections includes removed sections, whose versions are stored.
	maxSections = 10_000
)

// config is the replicated configuration: one section per team, the document
// composed of them, the history of accepted changes and the answers to recent
// change requests.
type config struct {
	// validate returns the faults of a composed document; nil accepts every one.
	validate Validator
	// revision is the number of accepted changes.
	revision uint64
	// sections is keyed by team. It includes removed sections, without text: their
	// versions are never reused, so that an old change cannot match a new section.
	sections map[string]*messenger.Section
	// document is composed of the texts in sections.
	document document
	// history holds the last accepted changes, oldest first.
	history []*messenger.HistoryItem
	// answersByID and answerQueue hold the same answers, by change id and from
	// oldest to newest.
	answersByID map[string]*messenger.ChangeAnswer
	answerQueue []*messenger.ChangeAnswer
	// answerBytes is the encoded size of all answers.
	answerBytes int
}

// newConfig returns a configuration without sections, at revision 0.
func newConfig(validate Validator) config {
	c := config{validate: validate, sections: map[string]*messenger.Section{}, answersByID: map[string]*messenger.ChangeAnswer{}}
	c.document, _ = composeDocument(nil)
	return c
}

// handleChange validates a change request, applies it if it is valid and returns
// the reply. Unless the request itself is malformed, it stores the reply, so that
// a resend of the request gets the same one.
func (c *config) handleChange(now time.Time, r *messenger.ChangeRequest) *messenger.ChangeReply {
	if reply := c.repeatedReply(r); reply != nil {
		return reply
	}
	if faults := requestFaults(r); faults != nil {
		return c.invalidReply(r, faults)
	}
	c.expireAnswers(now)
	if c.answersFull() && !c.evictRefusedAnswers() {
		return c.newReply(r, CodeUnavailable, scanner.Fault{Text: "too many changes in the last 48 hours"})
	}
	reply := c.applyChange(now, r)
	c.recordAnswer(now, r, reply)
	return reply
}

// repeatedReply returns the reply to a request whose id was used before, nil if
// the id is new. A different request under a used id is invalid.
func (c *config) repeatedReply(r *messenger.ChangeRequest) *messenger.ChangeReply {
	answer := c.answersByID[r.Id]
	if answer == nil {
		return nil
	}
	if answer.Digest != requestDigest(r) {
		return c.newReply(r, CodeInvalid, scanner.Fault{Text: "the change id was used for another change"})
	}
	reply := proto.CloneOf(answer.Reply)
	reply.Repeat = true
	return reply
}

// requestDigest returns a hash of a request's team, section and version. The
// lengths are part of it, so that bytes cannot move from one field to the next.
func requestDigest(r *messenger.ChangeRequest) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(r.Team), r.Section} {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = d.Write(part)
	}
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, r.Version))
	return d.Sum64()
}

// requestFaults returns the faults of a request that don't depend on the current
// configuration.
func requestFaults(r *messenger.ChangeRequest) []scanner.Fault {
	var list []scanner.Fault
	checkLength := func(field, s string) {
		if s == "" || len(s) > maxNameBytes {
			list = append(list, scanner.Fault{Text: fmt.Sprintf("%s has to have 1 to %d bytes", field, maxNameBytes)})
		}
	}
	checkLength("change id", r.Id)
	checkLength("team", r.Team)
	checkLength("author", r.Author)
	if strings.ContainsFunc(r.Team, func(c rune) bool { return c < ' ' || c == '"' || c == '\\' || c > '~' }) {
		list = append(list, scanner.Fault{Text: "team has to consist of printable ASCII characters without quotes"})
	}
	if len(r.Section) > maxSectionBytes {
		list = append(list, scanner.Fault{Text: fmt.Sprintf("section is larger than %d bytes", maxSectionBytes)})
		return list
	}
	if len(r.Section) > 0 {
		list = append(list, sectionFaults(r.Section)...)
	}
	return list
}

// applyChange makes a change the current configuration, or refuses it because the
// request names another section version or the changed document has faults.
func (c *config) applyChange(now time.Time, r *messenger.ChangeRequest) *messenger.ChangeReply {
	if r.Version != c.sectionVersion(r.Team) {
		return c.newReply(r, CodeConflict)
	}
	sections, document, faults := c.composeWith(r)
	if faults != nil {
		return c.invalidReply(r, faults)
	}
	c.sections, c.document = sections, document
	c.revision++
	c.addHistoryItem(now, r)
	return c.newReply(r, CodeAccepted)
}

// composeWith returns the sections and the document as they would be after a
// change, and the document's faults. It doesn't modify c.
func (c *config) composeWith(r *messenger.ChangeRequest) (map[string]*messenger.Section, document, []scanner.Fault) {
	current := c.sections[r.Team]
	switch {
	case len(r.Section) == 0 && c.sectionVersion(r.Team) == 0:
		return nil, document{}, []scanner.Fault{{Text: "there is no such section"}}
	case current == nil && len(c.sections) >= maxSections:
		return nil, document{}, []scanner.Fault{{Text: "there are too many sections"}}
	}
	sections := make(map[string]*messenger.Section, len(c.sections)+1)
	for team, section := range c.sections {
		sections[team] = section
	}
	sections[r.Team] = &messenger.Section{Team: r.Team, Version: current.GetVersion() + 1, Text: r.Section}
	composed, err := composeDocument(sections)
	if err != nil {
		return nil, document{}, []scanner.Fault{{Text: err.Error()}}
	}
	if len(composed.text) > maxDocumentBytes {
		return nil, document{}, []scanner.Fault{{Text: fmt.Sprintf("document is larger than %d bytes", maxDocumentBytes)}}
	}
	return sections, composed, c.validationFaults(composed, r.Team)
}

// validationFaults returns the validator's faults of a document, with positions
// in the section of team.
func (c *config) validationFaults(d document, team string) []scanner.Fault {
	if c.validate == nil {
		return nil
	}
	list := slices.Clone(c.validate(d.text))
	for i, f := range list {
		list[i] = d.faultInSection(f, team)
	}
	return list
}

// sectionVersion returns the version of a team's section, 0 if the team has none
// or has removed it.
func (c *config) sectionVersion(team string) uint64 {
	section := c.sections[team]
	if len(section.GetText()) == 0 {
		return 0
	}
	return section.Version
}

// invalidReply returns the reply that refuses r because of the faults in list.
func (c *config) invalidReply(r *messenger.ChangeRequest, list []scanner.Fault) *messenger.ChangeReply {
	return c.newReply(r, CodeInvalid, list...)
}

// newReply returns the reply to r with a code and faults. It names the revision of
// the configuration and the version of the team's section as they are now.
func (c *config) newReply(r *messenger.ChangeRequest, code string, list ...scanner.Fault) *messenger.ChangeReply {
	return &messenger.ChangeReply{Code: code, Revision: c.revision, Version: c.sectionVersion(r.Team), Faults: faultMessages(list)}
}

// addHistoryItem records r as the change that led to the current revision, and drops
// the oldest items beyond maxHistoryItems.
func (c *config) addHistoryItem(now time.Time, r *messenger.ChangeRequest) {
	c.history = append(c.history, &messenger.HistoryItem{
		Revision: c.revision,
		Team:     r.Team,
		Version:  c.sections[r.Team].Version,
		Id:       r.Id,
		Author:   r.Author,
		Time:     timestamppb.New(now),
	})
	c.history = c.history[max(0, len(c.history)-maxHistoryItems):]
}

// recordAnswer stores the reply to r under the id of the change.
func (c *config) recordAnswer(now time.Time, r *messenger.ChangeRequest, reply *messenger.ChangeReply) {
	c.addAnswer(&messenger.ChangeAnswer{Id: r.Id, Digest: requestDigest(r), Time: timestamppb.New(now), Reply: proto.CloneOf(reply)})
}

// addAnswer adds an answer that is newer than the stored ones.
func (c *config) addAnswer(answer *messenger.ChangeAnswer) {
	c.answersByID[answer.Id] = answer
	c.answerQueue = append(c.answerQueue, answer)
	c.answerBytes += proto.Size(answer)
}

// expireAnswers drops answers older than changeAnswerRetention, except for the
// newest minChangeAnswers.
func (c *config) expireAnswers(now time.Time) {
	for len(c.answerQueue) > minChangeAnswers && !c.answerQueue[0].Time.AsTime().Add(changeAnswerRetention).After(now) {
		delete(c.answersByID, c.answerQueue[0].Id)
		c.answerBytes -= proto.Size(c.answerQueue[0])
		c.answerQueue[0] = nil
		c.answerQueue = c.answerQueue[1:]
	}
}

// answersFull reports whether the stored answers have reached one of their limits.
func (c *config) answersFull() bool {
	return len(c.answerQueue) >= maxChangeAnswers || c.answerBytes >= maxChangeAnswerBytes
}

// evictRefusedAnswers drops the oldest answers to changes that were not accepted,
// up to a tenth of maxChangeAnswers, and reports whether there were any.
func (c *config) evictRefusedAnswers() bool {
	remaining := maxChangeAnswers / 10
	before := len(c.answerQueue)
	c.answerQueue = slices.DeleteFunc(c.answerQueue, func(a *messenger.ChangeAnswer) bool {
		if remaining == 0 || a.Reply.Code == CodeAccepted {
			return false
		}
		remaining--
		delete(c.answersByID, a.Id)
		c.answerBytes -= proto.Size(a)
		return true
	})
	return len(c.answerQueue) < before
}

// FinalReply returns the reply to a change request if it is final without a
// proposal to the replicated log: the id was used before, or the request is invalid
// in the current state. Otherwise it returns false, and the change must be proposed.
// All committed commands must have been applied before the call.
func (k *Keeper) FinalReply(r *messenger.ChangeRequest) (*messenger.ChangeReply, bool) {
	c := &k.config
	if reply := c.repeatedReply(r); reply != nil {
		return reply, true
	}
	list := requestFaults(r)
	if list == nil && r.Version == c.sectionVersion(r.Team) {
		_, _, list = c.composeWith(r)
	}
	if list == nil {
		return nil, false
	}
	return c.invalidReply(r, list), true
}

// ConfigRevision returns the configuration revision, the number of accepted changes.
func (k *Keeper) ConfigRevision() uint64 { return k.config.revision }

// ConfigDocument returns the whole configuration document as JSON: an object with a
// section per team. It must not be modified.
func (k *Keeper) ConfigDocument() []byte { return k.config.document.text }

// ConfigSections returns the configuration sections as the operators sent them,
// with comments, sorted by team.
func (k *Keeper) ConfigSections() []*messenger.Section {
	var list []*messenger.Section
	for _, team := range sortedTeams(k.config.sections) {
		list = append(list, k.config.sections[team])
	}
	return list
}

// ChangeHistory returns the last accepted configuration changes, oldest first.
func (k *Keeper) ChangeHistory() []*messenger.HistoryItem { return slices.Clone(k.config.history) }
