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

// Check returns all faults of a document: JSON, an object with a section per
// team.
type Check func(document []byte) []scanner.Fault

const (
	// maxFaults and maxFaultText bound a stored answer.
	maxFaults    = 50
	maxFaultText = 400
)

// document is the text of all sections together. Each section starts on a
// line of its own and keeps its lines, so that a fault of the check can be
// given in the lines of the operator's text.
type document struct {
	text []byte
	// lines holds, per team, the line before its section.
	lines map[string]int
	// ends holds, per team, the last line of its section.
	ends map[string]int
}

// compose builds the document of all sections with text, in the order of the
// teams' names. Comments are replaced by spaces.
func compose(sections map[string]*messenger.Section) (document, error) {
	d := document{lines: map[string]int{}, ends: map[string]int{}}
	var text bytes.Buffer
	text.WriteString("{\n")
	line := 1
	separator := ""
	for _, team := range teams(sections) {
		plain, err := plainJSON(sections[team].Text)
		if err != nil {
			return document{}, err
		}
		fmt.Fprintf(&text, "%s%q:\n%s\n", separator, team, plain)
		separator = ","
		d.lines[team] = line + 1
		line += 2 + bytes.Count(plain, []byte("\n"))
		d.ends[team] = line
	}
	text.WriteString("}\n")
	d.text = text.Bytes()
	return d, nil
}

// teams returns the sorted names of the teams that have a section.
func teams(sections map[string]*messenger.Section) []string {
	var names []string
	for name, section := range sections {
		if len(section.Text) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// plainJSON replaces comments and trailing commas by spaces; all bytes keep
// their places.
func plainJSON(text []byte) ([]byte, error) {
	return hujson.Standardize(bytes.Clone(text))
}

// sectionFaults returns the faults for which a section cannot be part of a
// document at all.
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

// syntaxFault takes line and column out of a parser's error.
func syntaxFault(err error) scanner.Fault {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var f scanner.Fault
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &f.Line, &f.Column); n == 2 {
		_, text, _ = strings.Cut(text, ": ")
	}
	f.Text = text
	return f
}

// locate turns the place of a fault in the document into one in the section
// of team. A fault elsewhere names the team and the line there, and has line
// and column 0.
func (d document) locate(f scanner.Fault, team string) scanner.Fault {
	for name, before := range d.lines {
		if f.Line <= before || f.Line > d.ends[name] {
			continue
		}
		if name == team {
			return scanner.Fault{Line: f.Line - before, Column: f.Column, Text: f.Text}
		}
		return scanner.Fault{Text: fmt.Sprintf("section of team %s, line %d, column %d: %s", name, f.Line-before, f.Column, f.Text)}
	}
	return scanner.Fault{Text: f.Text}
}

// faults bounds faults for an answer.
func faults(list []scanner.Fault) []*messenger.Fault {
	var out []*messenger.Fault
	for _, f := range list {
		if len(out) == maxFaults {
			out = append(out, &messenger.Fault{Text: fmt.Sprintf("%d more faults", len(list)-maxFaults)})
			break
		}
		text := strings.ToValidUTF8(f.Text[:min(len(f.Text), maxFaultText)], "")
		out = append(out, &messenger.Fault{Line: uint32(max(f.Line, 0)), Column: uint32(max(f.Column, 0)), Text: text})
	}
	return out
}
