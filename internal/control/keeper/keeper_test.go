package keeper

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"gentianpond/internal/order/recorder"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/settings/scanner"
	"gentianpond/test/seeder"
)

func TestMain(m *testing.M) {
	seeder.Fix(seeder.Values{Seed: 1, Checks: 300})
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0).UTC()

// checkWord faults every occurrence of the word "bad", as a stand-in for the
// checker of the document.
func checkWord(document []byte) []scanner.Fault {
	var list []scanner.Fault
	for i, line := range bytes.Split(document, []byte("\n")) {
		if column := bytes.Index(line, []byte("bad")); column >= 0 {
			list = append(list, scanner.Fault{Line: i + 1, Column: column + 1, Text: "bad word"})
		}
	}
	return list
}

// driver applies commands with growing indices.
type driver struct {
	*Keeper
	now time.Time
}

func newDriver(check Check) *driver { return &driver{Keeper: New(check), now: start} }

func (d *driver) apply(action *messenger.Command) Result {
	action.Time = timestamppb.New(d.now)
	data, err := Encode(action)
	if err != nil {
		return Result{Err: err}
	}
	return d.Apply(d.Applied()+1, data)
}

func (d *driver) change(id, team string, version uint64, section string) *messenger.ChangeReply {
	return d.apply(changeCommand(id, team, version, section)).Change
}

func changeCommand(id, team string, version uint64, section string) *messenger.Command {
	return &messenger.Command{Action: &messenger.Command_Change{Change: &messenger.ChangeRequest{
		Id: id, Team: team, Version: version, Section: []byte(section), Author: "operator"}}}
}

func viewCommand(c *messenger.ViewChange) *messenger.Command {
	return &messenger.Command{Action: &messenger.Command_View{View: c}}
}

// Guards against a document that is no JSON, loses a section or shows another
// team's text, and against versions that are used twice.
func TestChange(t *testing.T) {
	d := newDriver(nil)
	require.JSONEq(t, "{}", string(d.Document()))
	require.Equal(t, CodeAccepted, d.change("1", "b", 0, "{\"x\": 1, // one\n}").Code)
	require.Equal(t, CodeAccepted, d.change("2", "a", 0, "{}").Code)
	require.JSONEq(t, `{"a": {}, "b": {"x": 1}}`, string(d.Document()))
	lost := d.change("3", "b", 0, "{}")
	require.Equal(t, CodeConflict, lost.Code)
	require.EqualValues(t, 1, lost.Version)
	require.Equal(t, CodeAccepted, d.change("4", "b", 1, "").Code)
	require.Equal(t, CodeConflict, d.change("5", "b", 1, "{}").Code)
	require.EqualValues(t, 3, d.change("6", "b", 0, "{}").Version)
	require.EqualValues(t, 4, d.Revision())
	require.Len(t, d.History(), 4)
	require.Len(t, d.Sections(), 2)
	require.Equal(t, CodeInvalid, d.change("7", "c", 0, "").Code)
}

// Guards against faults that point to a place the operator does not see.
func TestFaultPlaces(t *testing.T) {
	d := newDriver(checkWord)
	require.Equal(t, CodeAccepted, d.change("1", "a", 0, "{\n\n}").Code)
	d.config.check = nil
	require.Equal(t, CodeAccepted, d.change("2", "m", 0, "{\n  \"bad\": 1}").Code)
	d.config.check = checkWord
	reply := d.change("3", "z", 0, "{ // bad comment\n\n \"bad\": 1}")
	require.Equal(t, CodeInvalid, reply.Code)
	require.Len(t, reply.Faults, 2)
	require.Equal(t, "section of team m, line 2, column 4: bad word", reply.Faults[0].Text)
	require.EqualValues(t, 3, reply.Faults[1].Line)
	require.EqualValues(t, 3, reply.Faults[1].Column)
	syntax := d.change("4", "z", 0, "{\n \"x\": }")
	require.Len(t, syntax.Faults, 1)
	require.EqualValues(t, 2, syntax.Faults[0].Line)
	require.NotZero(t, syntax.Faults[0].Column)
	require.Equal(t, "section is not an object", d.change("5", "z", 0, "[]").Faults[0].Text)
}

// Guards against a leader that answers a resent change by the state of today.
func TestPreview(t *testing.T) {
	d := newDriver(checkWord)
	request := changeCommand("1", "a", 0, "{}").GetChange()
	_, final := d.Preview(request)
	require.False(t, final)
	first := d.change("1", "a", 0, "{}")
	reply, final := d.Preview(request)
	require.True(t, final)
	require.True(t, reply.Repeat)
	require.Equal(t, first.Version, reply.Version)
	reply, final = d.Preview(changeCommand("2", "a", 1, "{\"bad\": 1}").GetChange())
	require.True(t, final)
	require.Equal(t, CodeInvalid, reply.Code)
	reply, _ = d.Preview(changeCommand("1", "a", 1, "{\"x\": 1}").GetChange())
	require.Equal(t, CodeInvalid, reply.Code, "an id that was used for another change")
}

// Guards against change ids that are forgotten while a resend may still come,
// and against ids that pile up.
func TestChangeIDsKept(t *testing.T) {
	d := newDriver(nil)
	for i := range minAnswers + 5 {
		d.change(fmt.Sprint(i), "a", 1<<40, "{}")
	}
	require.Len(t, d.config.order, minAnswers+5, "dropped within the window")
	d.now = d.now.Add(answerWindow)
	d.change("last", "a", 1<<40, "{}")
	require.Len(t, d.config.order, minAnswers+1, "kept after the window")
	require.Len(t, d.config.answers, minAnswers+1)
}

// Guards against a client that blocks all changes by repeating a faulty one
// under new ids, and against accepted ones that are forgotten for it.
func TestRefusedChangesMakeRoom(t *testing.T) {
	d := newDriver(nil)
	first := d.change("first", "a", 0, "{}")
	d.config.bytes = maxAnswerBytes
	require.Equal(t, CodeUnavailable, d.change("2", "a", 1, "{}").Code, "only accepted changes to forget")
	d.config.bytes = 1000
	require.Equal(t, CodeConflict, d.change("3", "a", 9, "{}").Code)
	d.config.bytes = maxAnswerBytes
	require.Equal(t, CodeAccepted, d.change("4", "a", 1, "{}").Code)
	repeat := d.change("first", "a", 0, "{}")
	require.True(t, repeat.Repeat)
	require.Equal(t, first.Version, repeat.Version)
	require.Len(t, d.config.order, 2)
}

// Guards against a view that a late message of an earlier incarnation or of a
// stopped host changes.
func TestView(t *testing.T) {
	host := func(name string, incarnation uint64) *messenger.Member {
		return &messenger.Member{Name: name, Zone: "z", Address: "127.0.0.1:1", Incarnation: incarnation}
	}
	members := func(m ...*messenger.Member) []*messenger.Member { return m }
	steps := []struct {
		name   string
		change *messenger.ViewChange
		number uint64
		want   string
	}{
		{"two join in one view", &messenger.ViewChange{Add: members(host("b", 1), host("a", 1))}, 1, "a1 b1"},
		{"the same again", &messenger.ViewChange{Add: members(host("a", 1))}, 1, "a1 b1"},
		{"restart", &messenger.ViewChange{Add: members(host("a", 2))}, 2, "a2 b1"},
		{"late message of the old one", &messenger.ViewChange{Add: members(host("a", 1))}, 2, "a2 b1"},
		{"late removal of the old one", &messenger.ViewChange{Remove: members(host("a", 1))}, 2, "a2 b1"},
		{"removal", &messenger.ViewChange{Remove: members(host("b", 1))}, 3, "a2"},
		{"return after silence", &messenger.ViewChange{Add: members(host("b", 1))}, 4, "a2 b1"},
		{"leave", &messenger.ViewChange{Leave: members(host("b", 1))}, 5, "a2"},
		{"late message of the stopped one", &messenger.ViewChange{Add: members(host("b", 1))}, 5, "a2"},
		{"start of the stopped one", &messenger.ViewChange{Add: members(host("b", 2))}, 6, "a2 b2"},
		{"leave of a newer one that never joined", &messenger.ViewChange{Leave: members(host("a", 3))}, 6, "a2 b2"},
	}
	d := newDriver(nil)
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			changes := d.ViewChanges(s.change)
			number := d.View().Number
			require.Equal(t, changes, d.apply(viewCommand(s.change)).Viewed)
			require.Equal(t, changes, d.View().Number > number)
			got := ""
			for _, m := range d.View().Members {
				got += fmt.Sprintf(" %s%d", m.Name, m.Incarnation)
			}
			require.Equal(t, " "+s.want, got)
			require.Equal(t, s.number, d.View().Number)
		})
	}
}

// Guards against commands that are applied twice or half understood.
func TestBadCommands(t *testing.T) {
	d := newDriver(nil)
	require.ErrorIs(t, d.Apply(1, []byte("x")).Err, ErrCommand)
	require.ErrorIs(t, d.Apply(2, nil).Err, ErrCommand)
	require.ErrorIs(t, d.Apply(2, nil).Err, ErrApplied)
	require.Error(t, d.Restore([]byte("x")))
	require.EqualValues(t, 2, d.Applied())
}

// machine compares a keeper with one that is restored from its snapshot again
// and again, and with what the operators were told.
type machine struct {
	a, b    *driver
	now     time.Time
	changes []*messenger.Command
	first   map[string]*messenger.ChangeReply
	holder  map[string]string
}

func (m *machine) apply(t *rapid.T, c *messenger.Command) Result {
	m.a.now, m.b.now = m.now, m.now
	before := m.a.Time()
	defer func() { require.False(t, m.a.Time().Before(before), "time went back") }()
	ra, rb := m.a.apply(c), m.b.apply(c)
	require.Equal(t, fmt.Sprint(ra), fmt.Sprint(rb), "the restored keeper answers otherwise")
	require.NoError(t, ra.Err)
	return ra
}

func (m *machine) change(t *rapid.T) {
	team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
	version := m.a.config.version(team) + rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "ahead")
	section := rapid.SampledFrom([]string{"{}", "{\"x\": 1}", "", "{\"bad\": 1}", "{"}).Draw(t, "section")
	id := fmt.Sprint(len(m.changes))
	c := changeCommand(id, team, version, section)
	m.changes = append(m.changes, c)
	m.send(t, c)
}

// race sends changes with equal versions under different ids.
func (m *machine) race(t *rapid.T) {
	version := m.a.config.version("a")
	accepted := 0
	for range rapid.IntRange(2, 4).Draw(t, "operators") {
		c := changeCommand(fmt.Sprint(len(m.changes)), "a", version, "{}")
		m.changes = append(m.changes, c)
		if m.send(t, c).Code == CodeAccepted {
			accepted++
		}
	}
	require.Equal(t, 1, accepted, "equal-version race")
}

func (m *machine) resend(t *rapid.T) {
	if len(m.changes) == 0 {
		t.Skip()
	}
	m.send(t, rapid.SampledFrom(m.changes).Draw(t, "resent"))
}

func (m *machine) send(t *rapid.T, c *messenger.Command) *messenger.ChangeReply {
	r := c.GetChange()
	revision, text := m.a.Revision(), string(m.a.Document())
	reply := m.apply(t, c).Change
	first, resent := m.first[r.Id]
	if resent && requestFaults(r) == nil {
		require.True(t, reply.Repeat)
		require.Equal(t, first.Code, reply.Code, "a resend got another answer")
		require.Equal(t, first.Version, reply.Version)
	}
	if resent || reply.Code != CodeAccepted {
		require.Equal(t, revision, m.a.Revision(), "revision after %v", reply)
		require.Equal(t, text, string(m.a.Document()))
	} else {
		require.Equal(t, revision+1, m.a.Revision())
	}
	if !resent {
		m.first[r.Id] = reply
	}
	return reply
}

func (m *machine) order(t *rapid.T) {
	key := fmt.Sprintf("%d-%d", start.Unix(), rapid.IntRange(0, 3).Draw(t, "key"))
	attempt := rapid.SampledFrom([]string{"one", "two"}).Draw(t, "attempt")
	reply := m.apply(t, &messenger.Command{Action: &messenger.Command_Reserve{Reserve: &messenger.ReserveRequest{
		Key: key, Attempt: attempt, Fingerprint: 7, Deadline: timestamppb.New(m.now.Add(time.Second)),
		Retention: durationpb.New(rapid.SampledFrom([]time.Duration{time.Minute, 10 * time.Minute, 0}).Draw(t, "retention"))}}}).Order
	if recorder.Verdict(reply.Verdict) != recorder.VerdictGranted {
		return
	}
	if holder, ok := m.holder[key]; ok {
		require.Equal(t, holder, attempt, "key %s is granted twice", key)
	}
	m.holder[key] = attempt
}

func (m *machine) complete(t *rapid.T) {
	key := fmt.Sprintf("%d-%d", start.Unix(), rapid.IntRange(0, 3).Draw(t, "key"))
	m.apply(t, &messenger.Command{Action: &messenger.Command_Complete{Complete: &messenger.CompleteRequest{
		Key: key, Attempt: rapid.SampledFrom([]string{"one", "two"}).Draw(t, "attempt"),
		Outcome: rapid.Uint32Range(0, 3).Draw(t, "outcome"), Answer: []byte("answer")}}})
}

func (m *machine) suspect(t *rapid.T) {
	m.apply(t, &messenger.Command{Action: &messenger.Command_Suspect{Suspect: &messenger.SuspectRequest{
		Observations: []*messenger.Observation{{
			Id:          fmt.Sprint(rapid.IntRange(0, 50).Draw(t, "id")),
			Fingerprint: rapid.Uint64Range(0, 3).Draw(t, "fingerprint"),
			Archive:     "orders",
			Server:      "s",
			Crashed:     rapid.Bool().Draw(t, "crashed"),
			Alone:       rapid.Bool().Draw(t, "alone"),
		}}}}})
}

func (m *machine) release(t *rapid.T) {
	m.apply(t, &messenger.Command{Action: &messenger.Command_Release{Release: &messenger.ReleaseRequest{
		Action:      rapid.SampledFrom([]string{"clear", "pin", "list"}).Draw(t, "action"),
		Fingerprint: rapid.Uint64Range(0, 3).Draw(t, "fingerprint")}}})
}

func (m *machine) view(t *rapid.T) {
	host := &messenger.Member{Name: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host"), Address: "127.0.0.1:1", Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation")}
	change := &messenger.ViewChange{}
	field := rapid.SampledFrom([]*[]*messenger.Member{&change.Add, &change.Add, &change.Remove, &change.Leave}).Draw(t, "field")
	*field = []*messenger.Member{host}
	m.apply(t, viewCommand(change))
}

// Guards against state that a snapshot loses, against two accepted changes of
// one version, against a resent change that is applied again, and against a
// key that is granted twice across snapshots.
func TestKeeper(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{a: newDriver(checkWord), b: newDriver(checkWord), now: start,
			first: map[string]*messenger.ChangeReply{}, holder: map[string]string{}}
		t.Repeat(map[string]func(*rapid.T){
			"change":   m.change,
			"race":     m.race,
			"resend":   m.resend,
			"order":    m.order,
			"complete": m.complete,
			"suspect":  m.suspect,
			"release":  m.release,
			"view":     m.view,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(-30, 600).Draw(t, "seconds")) * time.Second)
			},
			"restore": func(t *rapid.T) {
				data, err := m.b.Snapshot()
				require.NoError(t, err)
				m.b = newDriver(checkWord)
				require.NoError(t, m.b.Restore(data))
			},
			"": func(t *rapid.T) {
				a, err := m.a.Snapshot()
				require.NoError(t, err)
				b, err := m.b.Snapshot()
				require.NoError(t, err)
				require.True(t, bytes.Equal(a, b), "the restored keeper has another state")
				require.True(t, json.Valid(m.a.Document()))
			},
		})
	})
}
