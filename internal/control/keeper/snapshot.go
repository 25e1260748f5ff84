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

// copyQuarantineTo copies the quarantine list to the state that a snapshot holds.
func (k *Keeper) copyQuarantineTo(state *messenger.KeeperState) {
	contents := k.quarantine.Snapshot()
	state.QuarantineTime = timestamppb.New(contents.Now)
	state.Quarantine = contents.Revision
	state.Suspects = k.Suspicions()
	state.Alerts = k.Alerts()
	for _, r := range contents.Reports {
		state.Reports = append(state.Reports, &messenger.CrashReport{Id: r.ID, Time: timestamppb.New(r.Time)})
	}
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
	if err := restored.restoreRoutingAndRegistryFrom(&state); err != nil {
		return errors.Wrap(err, "restore the registry")
	}
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

// restoreQuarantineFrom replaces the quarantine list by the one in the state of a
// snapshot.
func (k *Keeper) restoreQuarantineFrom(state *messenger.KeeperState) {
	contents := quarantiner.Snapshot{Now: state.QuarantineTime.AsTime(), Revision: state.Quarantine}
	for _, s := range state.Suspects {
		contents.Suspicions = append(contents.Suspicions, quarantiner.Suspicion{
			Fingerprint: s.Fingerprint,
			Archive:     s.Archive,
			State:       quarantiner.State(s.State),
			Crashes:     int(s.Crashes),
			Expiry:      s.Expiry.AsTime(),
			Server:      s.Server,
			Incarnation: s.Incarnation,
		})
	}
	for _, a := range state.Alerts {
		contents.Alerts = append(contents.Alerts, quarantiner.Alert{Archive: a.Archive, LastCrash: a.Crash.AsTime()})
	}
	for _, r := range state.Reports {
		contents.Reports = append(contents.Reports, quarantiner.Report{ID: r.Id, Time: r.Time.AsTime()})
	}
	k.quarantine.Restore(contents)
}
