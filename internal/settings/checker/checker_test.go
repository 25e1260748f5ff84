package checker

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gentianpond/internal/settings/scanner"
)

// TestFaults guards against a document that is accepted with faults, and
// against faults that are reported one at a time or at the wrong place.
func TestFaults(t *testing.T) {
	var current Document
	datadriven.RunTest(t, "testdata/documents", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		switch d.Cmd {
		case "document":
			doc, err := ParseDocument("", []byte(d.Input))
			if err != nil {
				require.ErrorIs(t, err, ErrInvalid)
				return err.Error() + "\n"
			}
			current = doc
			for _, s := range doc.Sections {
				fmt.Fprintf(&out, "%s\n", s.Team)
				for _, a := range s.Archives {
					fmt.Fprintf(&out, "  %+v\n", a)
				}
			}
		case "section":
			var team string
			d.ScanArgs(t, "team", &team)
			s, err := ParseSection("", current, team, []byte(d.Input))
			if err != nil {
				require.ErrorIs(t, err, ErrInvalid)
				return err.Error() + "\n"
			}
			current = current.WithSection(s)
			out.Write(current.Format())
		case "without":
			var team string
			d.ScanArgs(t, "team", &team)
			current = current.WithoutSection(team)
			out.Write(current.Format())
		}
		return out.String()
	})
}

// TestFormat guards against a section whose comments hide what follows it in
// the formatted document, and against a section that changes or moves when
// another is replaced.
func TestFormat(t *testing.T) {
	doc := exampleDocument(t)
	text := []byte("// before\n{\"archives\": {\"counter\": {\"shards\": 12}}} // after")
	s, err := ParseSection("", doc, "counter", text)
	require.NoError(t, err)
	next := doc.WithSection(s)
	again, err := ParseDocument("", next.Format())
	require.NoError(t, err)
	require.Equal(t, len(doc.Sections), len(again.Sections))
	for i, s := range again.Sections {
		require.Equal(t, doc.Sections[i].Team, s.Team)
		require.Equal(t, next.Sections[i].Archives, s.Archives)
	}
	a, team, ok := again.Archive("counter")
	require.True(t, ok)
	require.Equal(t, "counter", team)
	require.Equal(t, 12, a.Shards)
	require.Contains(t, string(again.Format()), "shards\": 12")
	_, ok = again.WithoutSection("counter").Section("counter")
	require.False(t, ok)
	require.Equal(t, 10, doc.Sections[0].Archives[0].Shards, "the first document is unchanged")
}

// exampleDocument returns the configuration document of the example limfjord.
func exampleDocument(t require.TestingT) Document {
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "limfjord", "config.json"))
	require.NoError(t, err)
	doc, err := ParseDocument("", text)
	require.NoError(t, err)
	return doc
}

// TestDamaged guards against a damaged text that crashes the parser, and against
// a fault whose position lies outside the text.
func TestDamaged(t *testing.T) {
	text := exampleDocument(t).Format()
	rapid.Check(t, func(t *rapid.T) {
		damaged := append([]byte(nil), text...)
		for range rapid.IntRange(1, 4).Draw(t, "damages") {
			offset := rapid.IntRange(0, len(damaged)-1).Draw(t, "at")
			switch rapid.IntRange(0, 2).Draw(t, "damage") {
			case 0:
				damaged[offset] = rapid.Byte().Draw(t, "byte")
			case 1:
				damaged = damaged[:offset+1]
			case 2:
				piece := rapid.SampledFrom([]string{"{", "}", "[", "\"", "/*", "//", ",", "null", "1e999"}).Draw(t, "piece")
				damaged = append(damaged[:offset:offset], append([]byte(piece), damaged[offset:]...)...)
			}
		}
		_, err := ParseDocument("", damaged)
		if err == nil {
			return
		}
		require.ErrorIs(t, err, ErrInvalid)
		faults := scanner.Faults(err)
		require.NotEmpty(t, faults)
		lines := strings.Split(string(damaged), "\n")
		for _, f := range faults {
			require.GreaterOrEqual(t, f.Line, 1)
			require.LessOrEqual(t, f.Line, len(lines))
			require.GreaterOrEqual(t, f.Column, 1)
			require.LessOrEqual(t, f.Column, len(lines[f.Line-1])+1)
		}
	})
}

// TestSectionsDoNotClash guards against a section that is accepted alone and
// makes the whole document invalid.
func TestSectionsDoNotClash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var doc Document
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			var archives []string
			for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"x", "y", "z"}), rapid.ID[string]).Draw(t, "archives") {
				archives = append(archives, fmt.Sprintf("%q: {}", name))
			}
			text := `{"archives": {` + strings.Join(archives, ", ") + `}}`
			s, err := ParseSection("", doc, team, []byte(text))
			if err != nil {
				continue
			}
			doc = doc.WithSection(s)
			again, err := ParseDocument("", doc.Format())
			require.NoError(t, err)
			require.Equal(t, doc, again)
		}
	})
}
