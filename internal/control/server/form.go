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

// formTimeout bounds the wait for the reply of each other control host.
const formTimeout = 3 * time.Second

var (
	// ErrAlreadyFormed reports that a control host belongs to a group already.
	ErrAlreadyFormed = errors.New("a control host belongs to a group already")
	// ErrUnreachable reports that a control host did not say whether it belongs to a
	// group. A second group would accept changes that the first one does not know.
	ErrUnreachable = errors.New("a control host did not answer")
)

// FormOptions change what Form requires.
type FormOptions struct {
	// AllowUnreachable makes Form treat control hosts that do not reply as hosts
	// without a group. The operator has to make sure that this is so.
	AllowUnreachable bool
}

// Form writes the initial state of a group to this host's data folder. The folder must
// be empty or hold an identity that was never used, and every other control host must
// reply that it belongs to no group. Errors are ErrAlreadyFormed, ErrUnreachable,
// ErrSettings and those of the journal.
func Form(ctx context.Context, settings Settings, options FormOptions, logger *log.Logger) error {
	if err := settings.normalize(); err != nil {
		return errors.Wrap(err, "form group")
	}
	for _, h := range settings.Hosts {
		if h.Name == settings.Name {
			continue
		}
		err := checkNotInGroup(ctx, settings, h)
		if errors.Is(err, ErrUnreachable) && options.AllowUnreachable {
			logger.Warn("treating an unreachable host as one without a group", "host", h.Name, "err", err)
			continue
		}
		if err != nil {
			return errors.Wrapf(err, "form group: host %s", h.Name)
		}
	}
	if err := initSingleVoter(settings); err != nil {
		return errors.Wrap(err, "form group")
	}
	return nil
}

// checkNotInGroup returns an error unless the host replies that it belongs to no
// group.
func checkNotInGroup(ctx context.Context, settings Settings, h repairer.Host) error {
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
		return errors.Wrapf(ErrAlreadyFormed, "role %q in term %d", reply.GetRole(), reply.GetTerm())
	}
	return nil
}

// initSingleVoter makes this host the only voter of a new group.
func initSingleVoter(settings Settings) (err error) {
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
		return errors.Wrapf(ErrAlreadyFormed, "data folder %s", settings.Data)
	}
	h, _ := settings.hostByName(settings.Name)
	return saveInitialState(journal, settings, replicator.Member{ID: state.Identity, Name: h.Name, Zone: settings.Zone, Address: h.Address})
}

// saveInitialState writes the initial state of a group of voters to the journal.
func saveInitialState(journal *journaler.Journal, settings Settings, voters ...replicator.Member) error {
	data, err := keeper.New(settings.CheckDocument).Snapshot()
	if err != nil {
		return err
	}
	initial := replicator.Bootstrap(data, voters...)
	stored, err := encodeSnapshot(initial)
	if err != nil {
		return err
	}
	hard := journaler.HardState{Term: initial.Term, Commit: initial.Index}
	return journal.Save(journaler.Batch{HardState: &hard, Snapshot: &stored})
}

// isFirstVoter reports whether this host is one of the first voters of an open group
// that starts for the first time.
func (s *Settings) isFirstVoter() bool {
	return s.Bootstrap && s.isOpenGroup() && slices.Contains(s.Seeds, s.Inner)
}

// firstVoterID is the identity of the first data folder of a seed. All seeds compute
// each other's without a message, so that they write the same initial state. A folder
// created later has a random identity: a seed that lost its disk never counts as the
// voter that it was.
func firstVoterID(seed netip.AddrPort) uint64 {
	return cmp.Or(xxhash.Sum64String("founder "+seed.String()), 1)
}

// initFirstVoters writes the initial state of an open group, whose voters are the
// seeds.
func initFirstVoters(settings Settings) (err error) {
	if _, err := journaler.CreateWithIdentity(settings.fileSystem, settings.Data, firstVoterID(settings.Inner)); err != nil {
		return errors.Wrap(err, "form group")
	}
	journal, _, err := journaler.OpenOn(settings.fileSystem, settings.Data)
	if err != nil {
		return errors.Wrap(err, "form group")
	}
	defer func() { err = errors.Join(err, journal.Close()) }()
	var voters []replicator.Member
	for _, seed := range settings.Seeds {
		voters = append(voters, replicator.Member{ID: firstVoterID(seed), Name: seed.Addr().String(), Address: seed})
	}
	if err := saveInitialState(journal, settings, voters...); err != nil {
		return errors.Wrap(err, "form group")
	}
	return nil
}
