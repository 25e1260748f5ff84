package keeper

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/settings/scanner"
)

// Validator returns all faults of a configuration document, a JSON object with a
// section per team.
type Validator func(document []byte) []scanner.Fault

const (
	// maxFaults and maxFaultTextBytes bound the size of a stored answer.
	maxFaults         = 50
	maxFaultTextBytes = 400
)

// document is the JSON text of all sections together. Each section starts on a
// new line and keeps its line breaks, so that the position of a fault in the
// document can be converted to one in the operator's text.
type document struct {
	// text is a JSON object with a section per team.
	text []byte
	// lineBefore and lastLine are keyed by team: the line before the team's section
	// and the last line of the section, counted from 1.
	lineBefore map[string]int
	lastLine   map[string]int
}

// composeDocument builds the document of all sections with text, which are keyed by
// team. They are sorted by team, and comments are replaced by spaces.
func composeDocument(sections map[string]*messenger.Section) (document, error) {
	d := document{lineBefore: map[string]int{}, lastLine: map[string]int{}}
	var text bytes.Buffer
	text.WriteString("{\n")
	line := 1
	separator := ""
	for _, team := range sortedTeams(sections) {
		plain, err := plainJSON(sections[team].Text)
		if err != nil {
			return document{}, err
		}
		fmt.Fprintf(&text, "%s%q:\n%s\n", separator, team, plain)
		separator = ","
		d.lineBefore[team] = line + 1
		line += 2 + bytes.Count(plain, []byte("\n"))
		d.lastLine[team] = line
	}
	text.WriteString("}\n")
	d.text = text.Bytes()
	return d, nil
}

// sortedTeams returns the sorted names of the teams that have a section.
func sortedTeams(sections map[string]*messenger.Section) []string {
	var names []string
	for name, section := range sections {
		if len(section.Text) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// plainJSON replaces comments and trailing commas by spaces, so that lines and
// columns stay the same.
func plainJSON(text []byte) ([]byte, error) {
	return hujson.Standardize(bytes.Clone(text))
}

// sectionFaults returns the faults that prevent a section from being composed into
// a document: invalid UTF-8, invalid syntax, or a value that is no object.
func sectionFaults(text []byte) []scanner.Fault {
	if !utf8.Valid(text) {
		return []scanner.Fault{{Text: "section is not UTF-8"}}
	}
	plain, err := plainJSON(text)
	if err != nil {
		return []scanner.Fault{syntaxFault(err)}
	}
	if !bytes.HasPrefix(bytes.TrimSpace(plain), []byte("{")) {
		return []scanner.Fault{{Line: 1, Column: 1, Text: "section is not an object"}}
	}
	return nil
}

// syntaxFault converts a hujson error to a fault with line and column.
func syntaxFault(err error) scanner.Fault {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var f scanner.Fault
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &f.Line, &f.Column); n == 2 {
		_, text, _ = strings.Cut(text, ": ")
	}
	f.Text = text
	return f
}

// faultInSection converts the position of a fault from the document to the section
// of team. A fault in another team's section gets line and column 0, and a text
// that names that team and the position in its section.
func (d document) faultInSection(f scanner.Fault, team string) scanner.Fault {
	for name, before := range d.lineBefore {
		if f.Line <= before || f.Line > d.lastLine[name] {
			continue
		}
		if name == team {
			return scanner.Fault{Line: f.Line - before, Column: f.Column, Text: f.Text}
		}
		return scanner.Fault{Text: fmt.Sprintf("section of team %s, line %d, column %d: %s", name, f.Line-before, f.Column, f.Text)}
	}
	return scanner.Fault{Text: f.Text}
}

// faultMessages encodes faults for a reply, limited to maxFaults and
// maxFaultTextBytes.
func faultMessages(list []scanner.Fault) []*messenger.Fault {
	var out []*messenger.Fault
	for _, f := range list {
		if len(out) == maxFaults {
			out = append(out, &messenger.Fault{Text: fmt.Sprintf("%d more faults", len(list)-maxFaults)})
			break
		}
		text := strings.ToValidUTF8(f.Text[:min(len(f.Text), maxFaultTextBytes)], "")
		out = append(out, &messenger.Fault{Line: uint32(max(f.Line, 0)), Column: uint32(max(f.Column, 0)), Text: text})
	}
	return out
}
