package keeper

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/order/recorder"
	"gentianpond/internal/protocol/messenger"
)

// Snapshot encodes the whole state. Equal states give equal bytes. The limits of
// the parts keep the size below messenger.MaxMessageBytes.
func (k *Keeper) Snapshot() ([]byte, error) {
	state := &messenger.KeeperState{
		Index:    k.appliedIndex,
		Time:     timestamppb.New(k.latestTime),
		View:     k.View(),
		Departed: k.view.departed,
	}
	k.config.copyTo(state)
	k.copyLedgerTo(state)
	k.copyQuarantineTo(state)
	k.copyRoutingAndRegistryTo(state)
	k.copyEvacuationsTo(state)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return data, nil
}

// copyTo copies the configuration to the state that a snapshot holds. The document is
// left out, because it is composed of the sections.
func (c *config) copyTo(state *messenger.KeeperState) {
	state.Revision = c.revision
	state.History = c.history
	state.Answers = c.answerQueue
	for _, team := range slices.Sorted(maps.Keys(c.sections)) {
		state.Sections = append(state.Sections, c.sections[team])
	}
}

// copyLedgerTo copies the order ledger to the state that a snapshot holds.
func (k *Keeper) copyLedgerTo(state *messenger.KeeperState) {
	ledger := k.ledger.Snapshot()
	state.LedgerTime = timestamppb.New(ledger.Now)
	state.LedgerFloor = timestamppb.New(ledger.Floor)
	for _, r := range ledger.Records {
		state.Records = append(state.Records, &messenger.OrderRecord{
			Key:         r.Key,
			Attempt:     r.Attempt,
			Fingerprint: r.Fingerprint,
			Deadline:    timestamppb.New(r.Deadline),
			Expiry:      timestamppb.New(r.Expiry),
			Done:        r.Done,
			Outcome:     uint32(r.Outcome),
			Code:        r.Code,
			Answer:      r.Answer,
			Omitted:     r.Omitted,
		})
	}
}

// copyQuarantineTo copies the quarantine lists to the state that a snapshot holds.
func (k *Keeper) copyQuarantineTo(state *messenger.KeeperState) {
	m := quarantineMessage(k.quarantine)
	state.QuarantineTime, state.Quarantine, state.Suspects, state.Alerts, state.Reports = m.Time, m.Revision, m.Suspects, m.Alerts, m.Reports
	state.Routes = quarantineMessage(k.routes)
}

// quarantineMessage returns the content of a table for a snapshot.
func quarantineMessage(table *quarantiner.Table) *messenger.Quarantine {
	contents := table.Snapshot()
	m := &messenger.Quarantine{
		Time: timestamppb.New(contents.Now), Revision: contents.Revision, Suspects: suspicionMessages(table), Alerts: alertMessages(table),
	}
	for _, r := range contents.Reports {
		m.Reports = append(m.Reports, &messenger.CrashReport{Id: r.ID, Time: timestamppb.New(r.Time)})
	}
	return m
}

// Restore replaces the state with that of a snapshot. After an error the state is
// unchanged.
func (k *Keeper) Restore(data []byte) error {
	var state messenger.KeeperState
	if err := proto.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	restored := New(k.config.validate)
	if err := restored.config.restoreFrom(&state); err != nil {
		return errors.Wrap(err, "restore configuration")
	}
	restored.appliedIndex = state.Index
	restored.latestTime = state.Time.AsTime()
	restored.view = view{number: state.View.GetNumber(), members: state.View.GetMembers(), departed: state.Departed}
	restored.restoreLedgerFrom(&state)
	restored.restoreQuarantineFrom(&state)
	restored.restoreRoutingAndRegistryFrom(&state)
	restored.restoreEvacuationsFrom(&state)
	*k = *restored
	return nil
}

// restoreFrom fills an empty configuration with the one in the state of a snapshot.
func (c *config) restoreFrom(state *messenger.KeeperState) error {
	for _, section := range state.Sections {
		c.sections[section.Team] = section
	}
	composed, err := composeDocument(c.sections)
	if err != nil {
		return err
	}
	c.document = composed
	c.revision = state.Revision
	c.history = state.History
	for _, answer := range state.Answers {
		c.addAnswer(answer)
	}
	return nil
}

// restoreLedgerFrom replaces the order ledger by the one in the state of a snapshot.
func (k *Keeper) restoreLedgerFrom(state *messenger.KeeperState) {
	ledger := recorder.Snapshot{Now: state.LedgerTime.AsTime(), Floor: state.LedgerFloor.AsTime()}
	for _, r := range state.Records {
		ledger.Records = append(ledger.Records, recorder.Record{
			Key:         r.Key,
			Attempt:     r.Attempt,
			Fingerprint: r.Fingerprint,
			Deadline:    r.Deadline.AsTime(),
			Expiry:      r.Expiry.AsTime(),
			Done:        r.Done,
			Outcome:     recorder.Outcome(r.Outcome),
			Code:        r.Code,
			Answer:      r.Answer,
			Omitted:     r.Omitted,
		})
	}
	k.ledger.Restore(ledger)
}

// restoreQuarantineFrom replaces the quarantine lists by those in the state of a
// snapshot. Earlier versions of the program wrote none for routes.
func (k *Keeper) restoreQuarantineFrom(state *messenger.KeeperState) {
	k.quarantine.Restore(quarantineContents(&messenger.Quarantine{
		Time: state.QuarantineTime, Revision: state.Quarantine, Suspects: state.Suspects, Alerts: state.Alerts, Reports: state.Reports,
	}))
	if state.Routes != nil {
		k.routes.Restore(quarantineContents(state.Routes))
	}
}

// quarantineContents returns the content of a table in a snapshot.
func quarantineContents(m *messenger.Quarantine) quarantiner.Snapshot {
	contents := quarantiner.Snapshot{Now: m.GetTime().AsTime(), Revision: m.GetRevision()}
	for _, s := range m.GetSuspects() {
		contents.Suspicions = append(contents.Suspicions, quarantiner.SuspicionFromMessage(s))
	}
	for _, a := range m.GetAlerts() {
		contents.Alerts = append(contents.Alerts, quarantiner.Alert{Archive: a.GetArchive(), LastCrash: a.GetCrash().AsTime()})
	}
	for _, r := range m.GetReports() {
		contents.Reports = append(contents.Reports, quarantiner.Report{ID: r.GetId(), Time: r.GetTime().AsTime()})
	}
	return contents
}
