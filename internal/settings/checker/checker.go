// Package checker parses and checks the configuration document: JSON with
// comments, an object with one section per team. It reports all faults at
// once with line and column.
//
// A section belongs to one team and holds the settings of that team's archives.
// An archive belongs to the section of one team only.
package checker

import (
	"bytes"
	"time"

	"gentianpond/internal/settings/scanner"
)

// ErrInvalid matches, with errors.Is, the error of a document with faults. That
// error is a *scanner.Error that lists them all.
var ErrInvalid = scanner.ErrInvalid

// Lane is a priority class of requests.
type Lane string

// The lanes of an archive. Bulk requests never delay interactive ones.
const (
	LaneInteractive Lane = "interactive"
	LaneBulk        Lane = "bulk"
)

// Document is a checked configuration document, decoded into one section for each
// team.
type Document struct {
	// Sections are in the order of the text.
	Sections []Section
}

// Section is the part of a document that one team owns.
type Section struct {
	// Team is the name of the team that owns the section.
	Team string
	// Text is the section as written, JSON with comments. It includes the
	// comments before and after the object if ParseSection parsed it.
	Text []byte
	// Archives are in the order of the text.
	Archives []ArchiveSettings
}

// ArchiveSettings holds the settings of one archive with defaults filled in.
type ArchiveSettings struct {
	Name string
	// Deadline applies to a request that names none.
	Deadline time.Duration
	// Ceiling is the longest deadline that a request may name.
	Ceiling time.Duration
	// Hedge is the greatest number of hedged sub-requests, as a ratio to the first
	// attempts.
	Hedge float64
	// Retry is the greatest number of retries, as a ratio to the first attempts.
	Retry float64
	// Quantile is the quantile of the sub-request latency after which a hedge
	// is sent.
	Quantile float64
	// Canary states which requests are first sent to one shard alone.
	Canary Canary
	// Retention is how long the outcome of an order is kept.
	Retention time.Duration
	// Shards is the smallest shard count that a snapshot may state; 0 allows
	// any.
	Shards int
	// Lanes are those that requests may use.
	Lanes []Lane
}

// Section returns the section of a team.
func (d Document) Section(team string) (Section, bool) {
	for _, s := range d.Sections {
		if s.Team == team {
			return s, true
		}
	}
	return Section{}, false
}

// Archive returns the settings of an archive and the team that owns it.
func (d Document) Archive(name string) (ArchiveSettings, string, bool) {
	for _, s := range d.Sections {
		for _, a := range s.Archives {
			if a.Name == name {
				return a, s.Team, true
			}
		}
	}
	return ArchiveSettings{}, "", false
}

// Allows reports whether requests of the lane are allowed.
func (a ArchiveSettings) Allows(lane Lane) bool {
	for _, l := range a.Lanes {
		if l == lane {
			return true
		}
	}
	return false
}

// ParseDocument parses and checks a whole document. The name stands for the text
// in errors.
func ParseDocument(name string, text []byte) (Document, error) {
	s, root := scanner.Parse(name, text)
	var d Document
	teamOfArchive := map[string]string{}
	members, _ := root.Members()
	for _, m := range members {
		requireValidName(m.Key)
		d.Sections = append(d.Sections, parseSection(m.Name, m.Value, teamOfArchive))
	}
	if err := s.Err(); err != nil {
		return Document{}, err
	}
	return d, nil
}

// ParseSection parses and checks one section that is to replace the team's
// section in d. An archive that another team's section lists is a fault. The
// document itself is not changed; see WithSection. The name stands for the text
// in errors.
func ParseSection(name string, d Document, team string, text []byte) (Section, error) {
	s, root := scanner.Parse(name, text)
	if !scanner.ValidName(team) {
		root.Fault("the team %q is not a name", team)
	}
	teamOfArchive := map[string]string{}
	for _, other := range d.Sections {
		if other.Team == team {
			continue
		}
		for _, a := range other.Archives {
			teamOfArchive[a.Name] = other.Team
		}
	}
	section := parseSection(team, root, teamOfArchive)
	if err := s.Err(); err != nil {
		return Section{}, err
	}
	section.Text = bytes.TrimSpace(text)
	return section, nil
}

// WithSection returns a copy of the document in which section replaces the
// section of its team or, if there is none, is added at the end.
func (d Document) WithSection(section Section) Document {
	next := d.WithoutSection(section.Team)
	index := len(next.Sections)
	for i, s := range d.Sections {
		if s.Team == section.Team {
			index = i
		}
	}
	next.Sections = append(next.Sections, Section{})
	copy(next.Sections[index+1:], next.Sections[index:])
	next.Sections[index] = section
	return next
}

// WithoutSection returns a copy of the document without the team's section.
func (d Document) WithoutSection(team string) Document {
	var next Document
	for _, s := range d.Sections {
		if s.Team != team {
			next.Sections = append(next.Sections, s)
		}
	}
	return next
}

// Format returns the document as text for ParseDocument. The sections keep their
// comments.
func (d Document) Format() []byte {
	text := []byte("{")
	for _, section := range d.Sections {
		text = append(text, "\n\""+section.Team+"\": "...)
		text = append(text, section.Text...)
		if endsInComment(section.Text) {
			text = append(text, '\n')
		}
		text = append(text, ',')
	}
	return append(text, "\n}\n"...)
}

// endsInComment reports whether the last line of text may hold a line comment,
// which would hide whatever follows on that line. A string that contains "//"
// counts as well.
func endsInComment(text []byte) bool {
	last := text[bytes.LastIndexByte(text, '\n')+1:]
	return bytes.Contains(last, []byte("//"))
}

// requireValidName reports a fault if the value is not a valid name.
func requireValidName(n scanner.Node) { _, _ = n.Name() }
