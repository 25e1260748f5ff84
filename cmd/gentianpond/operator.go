package main

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"gentianpond/internal/protocol/messenger"
)

// operatorTimeout bounds the search for a leader that answers.
const operatorTimeout = 10 * time.Second

// operatorPause is the wait between two rounds over the control hosts.
const operatorPause = 200 * time.Millisecond

// errNoLeader means that no control host could answer as the leader.
var errNoLeader = errors.New("no control host answers as the leader")

// operator asks the control hosts on behalf of a person.
type operator struct {
	addresses string
}

func (o *operator) flags(sub *flaggy.Subcommand) {
	o.addresses = "127.0.0.1:9181"
	sub.String(&o.addresses, "c", "control", "Addresses of control hosts, IP:port, separated by commas.")
}

func (o *operator) hosts() ([]netip.AddrPort, error) {
	var hosts []netip.AddrPort
	for text := range strings.SplitSeq(o.addresses, ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, errors.Wrapf(errUsage, "control host %q is not IP:port", text)
		}
		hosts = append(hosts, addr)
	}
	return hosts, nil
}

// ask calls the hosts in turn, following their hints to the leader, until
// call reports that it was answered. call returns the leader's address when
// the host asked is not the leader.
func (o *operator) ask(ctx context.Context, call func(context.Context, messenger.ControlClient) (leader string, err error)) error {
	hosts, err := o.hosts()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var last error
	for ctx.Err() == nil {
		for _, host := range hosts {
			for range 3 {
				var leader string
				leader, last = askOne(ctx, host, call)
				if last == nil && leader == "" {
					return nil
				}
				next, parseErr := netip.ParseAddrPort(leader)
				if last != nil || parseErr != nil || next == host {
					break
				}
				host = next
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(operatorPause):
		}
	}
	if last != nil {
		return errors.Wrap(errors.Join(errNoLeader, last), "ask control")
	}
	return errNoLeader
}

func askOne(ctx context.Context, host netip.AddrPort, call func(context.Context, messenger.ControlClient) (string, error)) (string, error) {
	conn, err := messenger.Dial(host)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	return call(ctx, messenger.NewControlClient(conn))
}
