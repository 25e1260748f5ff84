package registrar

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// Check returns ErrInvalid if a check-in cannot be used: a message of the inner protocol
// cannot hold it, its names cannot be written into a header, or no host can reach its
// address. Control hosts check what comes in, and entry hosts what control hosts of other
// versions send. What is in the log or in a snapshot is not checked again, because all
// versions have to read the same registry from it; see FromMessage.
func (s Server) Check() error {
	if err := checkName("server name", s.Name, false); err != nil {
		return err
	}
	if s.State == Gone || s.State == Silent {
		return nil
	}
	if err := checkName("service", s.Service, false); err != nil {
		return err
	}
	if err := checkName("availability zone", s.Zone, true); err != nil {
		return err
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		return errors.Wrapf(ErrInvalid, "%d slots, 1 to %d are possible", s.Slots, maxSlots)
	}
	if a := s.Address.Addr(); !a.IsValid() || a.IsUnspecified() || a.IsMulticast() || a.Zone() != "" || s.Address.Port() == 0 {
		return errors.Wrapf(ErrInvalid, "address %s cannot be reached", s.Address)
	}
	return nil
}

// checkName returns ErrInvalid for a name that is not text of one line or too long.
func checkName(field, name string, mayBeEmpty bool) error {
	switch {
	case name == "" && !mayBeEmpty:
		return errors.Wrapf(ErrInvalid, "%s is empty", field)
	case len(name) > maxNameBytes:
		return errors.Wrapf(ErrInvalid, "%s has %d bytes, %d are possible", field, len(name), maxNameBytes)
	case !utf8.ValidString(name):
		return errors.Wrapf(ErrInvalid, "%s %q is not UTF-8", field, name)
	case strings.ContainsFunc(name, unicode.IsControl):
		return errors.Wrapf(ErrInvalid, "%s %q has control characters", field, name)
	}
	return nil
}
