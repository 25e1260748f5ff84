package scanner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestParse guards against a wrong position of a fault and against syntax that is
// wrongly accepted or refused.
func TestParse(t *testing.T) {
	tests := []struct {
		name, text string
		standard   bool
		want       string
	}{
		{"comment at the end", "{} // end", false, ""},
		{"comment in standard", "{} // end", true, "1:4: comments and trailing commas are not allowed here"},
		{"not UTF-8", "{\n\"a\": \"\xff\"}", false, "2:7: the text is not UTF-8"},
		{"byte order mark", "\ufeff{}", false, "1:1: invalid character '\\ufeff' at start of value"},
		{"deep", strings.Repeat("[", 33), false, "1:33: values are nested deeper than 32 levels"},
		{"brackets in strings and comments", `{"` + strings.Repeat("[", 40) + `\"[": 1} /* ` + strings.Repeat("[", 40) + "*/", false, ""},
		{"open comment", "{} /* [", false, "1:8: the text ends too early"},
		{"open string", `{"a`, false, "1:4: the text ends too early"},
		{"second value", "{}\n{}", false, "2:1: invalid character '{' after top-level value"},
		{"word", "{\"a\": yes}", false, "1:7: invalid literal: yes"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, n := parse("", []byte(test.text), test.standard)
			err := s.Err()
			if test.want == "" {
				require.NoError(t, err)
				require.True(t, n.Valid())
				return
			}
			require.EqualError(t, err, test.want)
			require.ErrorIs(t, err, ErrInvalid)
			_, ok := n.Members()
			require.False(t, ok)
			require.Len(t, Faults(s.Err()), 1, "a text that cannot be parsed has one fault")
		})
	}
}

// TestManyFaults guards against a list of faults of unbounded length.
func TestManyFaults(t *testing.T) {
	var text strings.Builder
	text.WriteString("{")
	for i := range 500 {
		fmt.Fprintf(&text, "\"%d\": 1,\n", i)
	}
	text.WriteString("}")
	s, n := Parse("file", []byte(text.String()))
	_, ok := n.Object()
	require.True(t, ok)
	faults := Faults(s.Err())
	require.Len(t, faults, maxFaults+1)
	require.Equal(t, "400 further faults are not listed", faults[maxFaults].Text)
	require.Len(t, Faults(s.Err()), maxFaults+1, "asking again adds nothing")
}

// TestDuration guards against a duration that is accepted without a unit.
func TestDuration(t *testing.T) {
	for text, want := range map[string]string{
		`"0"`:     `1:1: "0" is not a duration with a unit, such as "400ms"`,
		`"-0"`:    `1:1: "-0" is not a duration with a unit, such as "400ms"`,
		`""`:      `1:1: "" is not a duration with a unit, such as "400ms"`,
		`"1"`:     `1:1: "1" is not a duration with a unit, such as "400ms"`,
		`"1 s"`:   `1:1: "1 s" is not a duration with a unit, such as "400ms"`,
		`0`:       `1:1: a duration is a string with a unit, such as "400ms"`,
		`"0s"`:    "",
		`"1h30m"`: "",
	} {
		s, n := Parse("", []byte(text))
		n.Duration(0, 24*time.Hour)
		if want == "" {
			require.NoError(t, s.Err(), text)
		} else {
			require.EqualError(t, s.Err(), want)
		}
	}
}

// TestAnyText guards against a text that crashes the scanner, and against one that
// cannot be parsed but has no fault.
func TestAnyText(t *testing.T) {
	pieces := rapid.SampledFrom([]string{
		"{", "}", "[", "]", ",", ":", `"`, `"a"`, `\`, "//", "/*", "*/", "\n", " ", "1", "-", "null", "ø", "\xff",
	})
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(pieces, 0, 30).Draw(t, "pieces"), "")
		s, n := Parse("", []byte(text))
		if members, ok := n.Members(); ok {
			for _, m := range members {
				m.Value.Uint(0, 1)
				m.Value.Array()
				m.Value.Duration(0, time.Second)
				m.Value.Address()
				_ = m.Value.Source()
			}
		}
		for _, f := range Faults(s.Err()) {
			if f.Line < 1 || f.Column < 1 || f.Text == "" {
				t.Fatalf("fault %v of %q", f, text)
			}
		}
		if !n.Valid() && s.Err() == nil {
			t.Fatalf("%q was neither parsed nor refused", text)
		}
	})
}
