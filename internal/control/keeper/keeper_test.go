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
	seeder.SetDefaults(seeder.Defaults{Seed: 1, Checks: 300})
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0).UTC()

// rejectBadWord is a Validator that returns a fault for each line with the word
// "bad".
func rejectBadWord(document []byte) []scanner.Fault {
	var list []scanner.Fault
	for i, line := range bytes.Split(document, []byte("\n")) {
		if column := bytes.Index(line, []byte("bad")); column >= 0 {
			list = append(list, scanner.Fault{Line: i + 1, Column: column + 1, Text: "bad word"})
		}
	}
	return list
}

// driver applies commands to a keeper with consecutive log indices and the time now.
type driver struct {
	*Keeper
	now time.Time
}

func newDriver(validate Validator) *driver { return &driver{Keeper: New(validate), now: start} }

func (d *driver) apply(action *messenger.Command) Result {
	action.Time = timestamppb.New(d.now)
	data, err := EncodeCommand(action)
	if err != nil {
		return Result{Err: err}
	}
	return d.Apply(d.AppliedIndex()+1, data)
}

func (d *driver) change(id, team string, version uint64, section string) *messenger.ChangeReply {
	return d.apply(changeCommand(id, team, version, section)).ChangeReply
}

func changeCommand(id, team string, version uint64, section string) *messenger.Command {
	return &messenger.Command{Action: &messenger.Command_Change{Change: &messenger.ChangeRequest{
		Id: id, Team: team, Version: version, Section: []byte(section), Author: "operator"}}}
}

func viewCommand(c *messenger.ViewChange) *messenger.Command {
	return &messenger.Command{Action: &messenger.Command_View{View: c}}
}

// Guards against a document that is not valid JSON, lacks a section or assigns a
// section to another team, and against reused section versions.
func TestChange(t *testing.T) {
	d := newDriver(nil)
	require.JSONEq(t, "{}", string(d.ConfigDocument()))
	require.Equal(t, CodeAccepted, d.change("1", "b", 0, "{\"x\": 1, // one\n}").Code)
	require.Equal(t, CodeAccepted, d.change("2", "a", 0, "{}").Code)
	require.JSONEq(t, `{"a": {}, "b": {"x": 1}}`, string(d.ConfigDocument()))
	lost := d.change("3", "b", 0, "{}")
	require.Equal(t, CodeConflict, lost.Code)
	require.EqualValues(t, 1, lost.Version)
	require.Equal(t, CodeAccepted, d.change("4", "b", 1, "").Code)
	require.Equal(t, CodeConflict, d.change("5", "b", 1, "{}").Code)
	require.EqualValues(t, 3, d.change("6", "b", 0, "{}").Version)
	require.EqualValues(t, 4, d.ConfigRevision())
	require.Len(t, d.ChangeHistory(), 4)
	require.Len(t, d.ConfigSections(), 2)
	require.Equal(t, CodeInvalid, d.change("7", "c", 0, "").Code)
}

// Guards against fault positions that refer to the composed document instead of
// the section that the operator sent.
func TestFaultPlaces(t *testing.T) {
	d := newDriver(rejectBadWord)
	require.Equal(t, CodeAccepted, d.change("1", "a", 0, "{\n\n}").Code)
	d.config.validate = nil
	require.Equal(t, CodeAccepted, d.change("2", "m", 0, "{\n  \"bad\": 1}").Code)
	d.config.validate = rejectBadWord
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

// Guards against a leader that answers a resent change from the current state
// instead of the first reply.
func TestFinalReply(t *testing.T) {
	d := newDriver(rejectBadWord)
	request := changeCommand("1", "a", 0, "{}").GetChange()
	_, final := d.FinalReply(request)
	require.False(t, final)
	first := d.change("1", "a", 0, "{}")
	reply, final := d.FinalReply(request)
	require.True(t, final)
	require.True(t, reply.Repeat)
	require.Equal(t, first.Version, reply.Version)
	reply, final = d.FinalReply(changeCommand("2", "a", 1, "{\"bad\": 1}").GetChange())
	require.True(t, final)
	require.Equal(t, CodeInvalid, reply.Code)
	reply, _ = d.FinalReply(changeCommand("1", "a", 1, "{\"x\": 1}").GetChange())
	require.Equal(t, CodeInvalid, reply.Code, "an id that was used for another change")
}

// Guards against change ids that are dropped while the client may still resend
// the change, and against ids that accumulate without bound.
func TestChangeIDsKept(t *testing.T) {
	d := newDriver(nil)
	for i := range minChangeAnswers + 5 {
		d.change(fmt.Sprint(i), "a", 1<<40, "{}")
	}
	require.Len(t, d.config.answerQueue, minChangeAnswers+5, "dropped within the retention time")
	d.now = d.now.Add(changeAnswerRetention)
	d.change("last", "a", 1<<40, "{}")
	require.Len(t, d.config.answerQueue, minChangeAnswers+1, "kept after the retention time")
	require.Len(t, d.config.answersByID, minChangeAnswers+1)
}

// Guards against a client that blocks all changes by repeating a faulty one under
// new ids, and against the eviction of answers to accepted changes in its favor.
func TestRefusedChangesMakeRoom(t *testing.T) {
	d := newDriver(nil)
	first := d.change("first", "a", 0, "{}")
	d.config.answerBytes = maxChangeAnswerBytes
	require.Equal(t, CodeUnavailable, d.change("2", "a", 1, "{}").Code, "only accepted changes to forget")
	d.config.answerBytes = 1000
	require.Equal(t, CodeConflict, d.change("3", "a", 9, "{}").Code)
	d.config.answerBytes = maxChangeAnswerBytes
	require.Equal(t, CodeAccepted, d.change("4", "a", 1, "{}").Code)
	repeat := d.change("first", "a", 0, "{}")
	require.True(t, repeat.Repeat)
	require.Equal(t, first.Version, repeat.Version)
	require.Len(t, d.config.answerQueue, 2)
}

// Guards against late messages of an earlier incarnation or of a stopped host that
// change the view.
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
			changes := d.WouldChangeView(s.change)
			number := d.View().Number
			require.Equal(t, changes, d.apply(viewCommand(s.change)).ViewChanged)
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

// Guards against commands that are applied twice, and against invalid commands
// that are not rejected.
func TestInvalidCommands(t *testing.T) {
	d := newDriver(nil)
	require.ErrorIs(t, d.Apply(1, []byte("x")).Err, ErrUnknownCommand)
	require.ErrorIs(t, d.Apply(2, nil).Err, ErrUnknownCommand)
	require.ErrorIs(t, d.Apply(2, nil).Err, ErrAlreadyApplied)
	require.Error(t, d.Restore([]byte("x")))
	require.EqualValues(t, 2, d.AppliedIndex())
}

// snapshotModel applies the same commands to a keeper and to one that is repeatedly
// restored from its own snapshot. It compares both with each other and with the
// replies sent so far.
type snapshotModel struct {
	uninterrupted, restored *driver
	now                     time.Time
	changes                 []*messenger.Command
	firstReplies            map[string]*messenger.ChangeReply // by change id
	grantedAttempts         map[string]string                 // by idempotency key
}

func (m *snapshotModel) apply(t *rapid.T, c *messenger.Command) Result {
	m.uninterrupted.now, m.restored.now = m.now, m.now
	before := m.uninterrupted.LatestTime()
	defer func() { require.False(t, m.uninterrupted.LatestTime().Before(before), "time went back") }()
	result, restoredResult := m.uninterrupted.apply(c), m.restored.apply(c)
	require.Equal(t, fmt.Sprint(result), fmt.Sprint(restoredResult), "the restored keeper returned another result")
	require.NoError(t, result.Err)
	return result
}

func (m *snapshotModel) change(t *rapid.T) {
	team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
	version := m.uninterrupted.config.sectionVersion(team) + rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "ahead")
	section := rapid.SampledFrom([]string{"{}", "{\"x\": 1}", "", "{\"bad\": 1}", "{"}).Draw(t, "section")
	id := fmt.Sprint(len(m.changes))
	c := changeCommand(id, team, version, section)
	m.changes = append(m.changes, c)
	m.send(t, c)
}

// raceChanges sends changes with equal versions under different ids.
func (m *snapshotModel) raceChanges(t *rapid.T) {
	version := m.uninterrupted.config.sectionVersion("a")
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

func (m *snapshotModel) resend(t *rapid.T) {
	if len(m.changes) == 0 {
		t.Skip()
	}
	m.send(t, rapid.SampledFrom(m.changes).Draw(t, "resent"))
}

func (m *snapshotModel) send(t *rapid.T, c *messenger.Command) *messenger.ChangeReply {
	r := c.GetChange()
	revision, text := m.uninterrupted.ConfigRevision(), string(m.uninterrupted.ConfigDocument())
	reply := m.apply(t, c).ChangeReply
	first, resent := m.firstReplies[r.Id]
	if resent && requestFaults(r) == nil {
		require.True(t, reply.Repeat)
		require.Equal(t, first.Code, reply.Code, "a resend got another answer")
		require.Equal(t, first.Version, reply.Version)
	}
	if resent || reply.Code != CodeAccepted {
		require.Equal(t, revision, m.uninterrupted.ConfigRevision(), "revision after %v", reply)
		require.Equal(t, text, string(m.uninterrupted.ConfigDocument()))
	} else {
		require.Equal(t, revision+1, m.uninterrupted.ConfigRevision())
	}
	if !resent {
		m.firstReplies[r.Id] = reply
	}
	return reply
}

func (m *snapshotModel) order(t *rapid.T) {
	key := fmt.Sprintf("%d-%d", start.Unix(), rapid.IntRange(0, 3).Draw(t, "key"))
	attempt := rapid.SampledFrom([]string{"one", "two"}).Draw(t, "attempt")
	reply := m.apply(t, &messenger.Command{Action: &messenger.Command_Reserve{Reserve: &messenger.ReserveRequest{
		Key: key, Attempt: attempt, Fingerprint: 7, Deadline: timestamppb.New(m.now.Add(time.Second)),
		Retention: durationpb.New(rapid.SampledFrom([]time.Duration{time.Minute, 10 * time.Minute, 0}).Draw(t, "retention"))}}}).OrderReply
	if recorder.Verdict(reply.Verdict) != recorder.VerdictGranted {
		return
	}
	if holder, ok := m.grantedAttempts[key]; ok {
		require.Equal(t, holder, attempt, "key %s is granted twice", key)
	}
	m.grantedAttempts[key] = attempt
}

func (m *snapshotModel) complete(t *rapid.T) {
	key := fmt.Sprintf("%d-%d", start.Unix(), rapid.IntRange(0, 3).Draw(t, "key"))
	m.apply(t, &messenger.Command{Action: &messenger.Command_Complete{Complete: &messenger.CompleteRequest{
		Key: key, Attempt: rapid.SampledFrom([]string{"one", "two"}).Draw(t, "attempt"),
		Outcome: rapid.Uint32Range(0, 3).Draw(t, "outcome"), Answer: []byte("answer")}}})
}

func (m *snapshotModel) suspect(t *rapid.T) {
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

func (m *snapshotModel) release(t *rapid.T) {
	m.apply(t, &messenger.Command{Action: &messenger.Command_Release{Release: &messenger.ReleaseRequest{
		Action:      rapid.SampledFrom([]string{"clear", "pin", "list"}).Draw(t, "action"),
		Fingerprint: rapid.Uint64Range(0, 3).Draw(t, "fingerprint")}}})
}

func (m *snapshotModel) view(t *rapid.T) {
	host := &messenger.Member{Name: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host"), Address: "127.0.0.1:1", Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation")}
	change := &messenger.ViewChange{}
	field := rapid.SampledFrom([]*[]*messenger.Member{&change.Add, &change.Add, &change.Remove, &change.Leave}).Draw(t, "field")
	*field = []*messenger.Member{host}
	m.apply(t, viewCommand(change))
}

// Guards against state that is missing from a snapshot, against two accepted
// changes of one section version, against a resent change that is applied again,
// and against an idempotency key that is granted to two attempts across snapshots.
func TestKeeper(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &snapshotModel{uninterrupted: newDriver(rejectBadWord), restored: newDriver(rejectBadWord), now: start,
			firstReplies: map[string]*messenger.ChangeReply{}, grantedAttempts: map[string]string{}}
		t.Repeat(map[string]func(*rapid.T){
			"change":   m.change,
			"race":     m.raceChanges,
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
				data, err := m.restored.Snapshot()
				require.NoError(t, err)
				m.restored = newDriver(rejectBadWord)
				require.NoError(t, m.restored.Restore(data))
			},
			"": func(t *rapid.T) {
				a, err := m.uninterrupted.Snapshot()
				require.NoError(t, err)
				b, err := m.restored.Snapshot()
				require.NoError(t, err)
				require.True(t, bytes.Equal(a, b), "the restored keeper has another state")
				require.True(t, json.Valid(m.uninterrupted.ConfigDocument()))
			},
		})
	})
}
