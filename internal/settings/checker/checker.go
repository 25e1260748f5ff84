// Package checker parses and checks the configuration document: JSON with
// comments, an object with one section per team. It reports all faults at
// once with line and column.
package checker

import (
	"bytes"
	"time"

	"gentianpond/internal/settings/scanner"
)

// ErrInvalid is the sentinel for a document with faults. The error is a
// *scanner.Error that lists them all.
var ErrInvalid = scanner.ErrInvalid

// Lane names a queue of requests.
type Lane string

// The lanes of an archive. Bulk work never delays interactive work.
const (
	Interactive Lane = "interactive"
	Bulk        Lane = "bulk"
)

// Document is a checked configuration document.
type Document struct {
	// Sections are ordered as in the text.
	Sections []Section
}

// Section is the part of a document that one team owns.
type Section struct {
	Team string
	// Text is the section as written, JSON with comments. Comments around it
	// are part of it if the section was given alone.
	Text []byte
	// Archives are ordered as in the text.
	Archives []Archive
}

// Archive holds the settings of one archive with defaults filled in.
type Archive struct {
	Name string
	// Deadline applies when a request names none; Ceiling is the longest
	// deadline allowed.
	Deadline time.Duration
	Ceiling  time.Duration
	// Hedge is the budget of extra sub-requests and Retry that of retries,
	// both as shares of first attempts.
	Hedge float64
	Retry float64
	// Quantile of the sub-request latency after which a hedge is sent.
	Quantile float64
	Canary   Canary
	// Retention is how long the outcome of an order is kept.
	Retention time.Duration
	// Shards is the least shard count that a snapshot may state; 0 allows
	// any.
	Shards int
	// Lanes that requests may use.
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
func (d Document) Archive(name string) (Archive, string, bool) {
	for _, s := range d.Sections {
		for _, a := range s.Archives {
			if a.Name == name {
				return a, s.Team, true
			}
		}
	}
	return Archive{}, "", false
}

// Allows reports whether requests of the lane are allowed.
func (a Archive) Allows(lane Lane) bool {
	for _, l := range a.Lanes {
		if l == lane {
			return true
		}
	}
	return false
}

// ParseDocument parses and checks a whole document. Name is used in errors
// only.
func ParseDocument(name string, text []byte) (Document, error) {
	s, root := scanner.Parse(name, text)
	var d Document
	owners := map[string]string{}
	members, _ := root.Members()
	for _, m := range members {
		checkName(m.Key)
		d.Sections = append(d.Sections, parseSection(m.Name, m.Value, owners))
	}
	if err := s.Err(); err != nil {
		return Document{}, err
	}
	return d, nil
}

// ParseSection parses and checks one section that is to replace the team's
// section in d. An archive of another team's section is a fault. The document
// itself is not changed; use With.
func ParseSection(name string, d Document, team string, text []byte) (Section, error) {
	s, root := scanner.Parse(name, text)
	if !scanner.ValidName(team) {
		root.Fault("the team %q is not a name", team)
	}
	owners := map[string]string{}
	for _, other := range d.Sections {
		if other.Team == team {
			continue
		}
		for _, a := range other.Archives {
			owners[a.Name] = other.Team
		}
	}
	section := parseSection(team, root, owners)
	if err := s.Err(); err != nil {
		return Section{}, err
	}
	section.Text = bytes.TrimSpace(text)
	return section, nil
}

// With returns the document with the team's section replaced or added.
func (d Document) With(section Section) Document {
	next := d.Without(section.Team)
	at := len(next.Sections)
	for i, s := range d.Sections {
		if s.Team == section.Team {
			at = i
		}
	}
	next.Sections = append(next.Sections, Section{})
	copy(next.Sections[at+1:], next.Sections[at:])
	next.Sections[at] = section
	return next
}

// Without returns the document without the team's section.
func (d Document) Without(team string) Document {
	var next Document
	for _, s := range d.Sections {
		if s.Team != team {
			next.Sections = append(next.Sections, s)
		}
	}
	return next
}

// Format returns the document as text that ParseDocument reads; the sections
// keep their comments.
func (d Document) Format() []byte {
	text := []byte("{")
	for _, s := range d.Sections {
		text = append(text, "\n\""+s.Team+"\": "...)
		text = append(text, s.Text...)
		if endsInComment(s.Text) {
			text = append(text, '\n')
		}
		text = append(text, ',')
	}
	return append(text, "\n}\n"...)
}

// endsInComment reports whether the last line of text may hold a comment that
// would hide what follows it.
func endsInComment(text []byte) bool {
	last := text[bytes.LastIndexByte(text, '\n')+1:]
	return bytes.Contains(last, []byte("//"))
}

func checkName(n scanner.Node) { _, _ = n.Name() }
