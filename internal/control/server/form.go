package server

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"gentianpond/internal/control/journaler"
	"gentianpond/internal/control/keeper"
	"gentianpond/internal/control/repairer"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/protocol/messenger"
)

// formTimeout bounds the wait for the answer of each other control host.
const formTimeout = 3 * time.Second

var (
	// ErrFormed reports that a control host belongs to a group already.
	ErrFormed = errors.New("a control host belongs to a group already")
	// ErrUnreachable reports that a control host did not say whether it
	// belongs to a group. A second group would accept changes that the first
	// one does not know.
	ErrUnreachable = errors.New("a control host did not answer")
)

// FormOptions change what Form requires.
type FormOptions struct {
	// Unreachable lets control hosts that do not answer count as hosts without
	// a group. The operator vouches for that.
	Unreachable bool
}

// Form writes the first state of a group to this host's data folder. The
// folder must be empty or hold an identity that was never used, and every
// other control host must answer that it belongs to no group. Errors are
// ErrFormed, ErrUnreachable, ErrSettings and those of the journal.
func Form(ctx context.Context, settings Settings, options FormOptions, logger *log.Logger) error {
	if err := settings.complete(); err != nil {
		return errors.Wrap(err, "form")
	}
	for _, h := range settings.Hosts {
		if h.Name == settings.Name {
			continue
		}
		err := askUnformed(ctx, settings, h)
		if errors.Is(err, ErrUnreachable) && options.Unreachable {
			logger.Warn("counting an unreachable host as one without a group", "host", h.Name, "err", err)
			continue
		}
		if err != nil {
			return errors.Wrapf(err, "form: host %s", h.Name)
		}
	}
	if err := writeFirst(settings); err != nil {
		return errors.Wrap(err, "form")
	}
	return nil
}

// askUnformed fails unless the host says that it belongs to no group.
func askUnformed(ctx context.Context, settings Settings, h repairer.Host) error {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	conn, err := messenger.Dial(h.Address, settings.DialOptions...)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = conn.Close() }()
	reply, err := messenger.NewControlClient(conn).Status(ctx, &messenger.StatusRequest{})
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	if reply.GetRole() != roleWaiting {
		return errors.Wrapf(ErrFormed, "role %q in term %d", reply.GetRole(), reply.GetTerm())
	}
	return nil
}

// writeFirst makes this host the only voter of a new group.
func writeFirst(settings Settings) (err error) {
	_, err = journaler.Create(settings.Data)
	if err != nil && !errors.Is(err, journaler.ErrNotEmpty) {
		return err
	}
	journal, state, err := journaler.Open(settings.Data)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, journal.Close()) }()
	if state.HardState != (journaler.HardState{}) || state.LastIndex() != 0 {
		return errors.Wrapf(ErrFormed, "data folder %s", settings.Data)
	}
	h, _ := settings.host(settings.Name)
	return writeState(journal, settings, replicator.Member{ID: state.Identity, Name: h.Name, Zone: settings.Zone, Address: h.Address})
}

// writeState writes the first state of a group of voters.
func writeState(journal *journaler.Journal, settings Settings, voters ...replicator.Member) error {
	data, err := keeper.New(settings.Check).Snapshot()
	if err != nil {
		return err
	}
	first := replicator.Bootstrap(data, voters...)
	stored, err := storedSnapshot(first)
	if err != nil {
		return err
	}
	hard := journaler.HardState{Term: first.Term, Commit: first.Index}
	return journal.Save(journaler.Batch{HardState: &hard, Snapshot: &stored})
}

// founds reports whether this host is one of the first voters of an open group
// that starts for the first time.
func (s *Settings) founds() bool {
	return s.Bootstrap && s.open() && slices.Contains(s.Seeds, s.Inner)
}

// founderID is the identity of the first data folder of a seed. All seeds know
// each other's without a message, so that they write the same first state. A
// folder made later has a random identity: a seed that lost its disk never
// counts as the voter that it was.
func founderID(seed netip.AddrPort) uint64 {
	return cmp.Or(xxhash.Sum64String("founder "+seed.String()), 1)
}

// writeFounders writes the first state of an open group, whose voters are the
// seeds.
func writeFounders(settings Settings) (err error) {
	if _, err := journaler.CreateWithIdentity(settings.disk, settings.Data, founderID(settings.Inner)); err != nil {
		return errors.Wrap(err, "form")
	}
	journal, _, err := journaler.OpenOn(settings.disk, settings.Data)
	if err != nil {
		return errors.Wrap(err, "form")
	}
	defer func() { err = errors.Join(err, journal.Close()) }()
	var voters []replicator.Member
	for _, seed := range settings.Seeds {
		voters = append(voters, replicator.Member{ID: founderID(seed), Name: seed.Addr().String(), Address: seed})
	}
	if err := writeState(journal, settings, voters...); err != nil {
		return errors.Wrap(err, "form")
	}
	return nil
}
