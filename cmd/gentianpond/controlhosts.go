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

// controlTimeout bounds the time that a command spends on finding a leader that
// answers.
const controlTimeout = 10 * time.Second

// controlRetryInterval is the pause between two rounds of calls to the control hosts.
const controlRetryInterval = 200 * time.Millisecond

// errNoLeader means that no control host could answer as the leader.
var errNoLeader = errors.New("no control host answers as the leader")

// controlHosts calls the control hosts whose addresses an operator gave.
type controlHosts struct {
	// addressList is the value of the --control flag: addresses separated by commas.
	addressList string
}

// addFlags adds the --control flag with its default to a subcommand.
func (h *controlHosts) addFlags(sub *flaggy.Subcommand) {
	h.addressList = "127.0.0.1:9181"
	sub.String(&h.addressList, "c", "control", "Addresses of control hosts, IP:port, separated by commas.")
}

// parseAddresses returns the addresses of addressList. Its error is errUsage.
func (h *controlHosts) parseAddresses() ([]netip.AddrPort, error) {
	var hosts []netip.AddrPort
	for text := range strings.SplitSeq(h.addressList, ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, errors.Wrapf(errUsage, "control host %q is not IP:port", text)
		}
		hosts = append(hosts, addr)
	}
	return hosts, nil
}

// callLeader calls the hosts in turn, following the leader's address that a host
// returns, until the leader has answered. A round makes at most three calls for
// each of the hosts. call returns "" for an answer of the leader, else the
// leader's address as leaderHint does.
func (h *controlHosts) callLeader(ctx context.Context, call func(context.Context, messenger.ControlClient) (leader string, err error)) error {
	hosts, err := h.parseAddresses()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		for _, host := range hosts {
			for range 3 {
				var leader string
				leader, lastErr = callHost(ctx, host, call)
				if lastErr == nil && leader == "" {
					return nil
				}
				leaderAddr, parseErr := netip.ParseAddrPort(leader)
				if lastErr != nil || parseErr != nil || leaderAddr == host {
					break
				}
				host = leaderAddr
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(controlRetryInterval):
		}
	}
	if lastErr != nil {
		return errors.Wrap(errors.Join(errNoLeader, lastErr), "call control hosts")
	}
	return errNoLeader
}

// callHost makes one call to one control host over a connection of its own. The
// text that it returns is that of call.
func callHost(ctx context.Context, host netip.AddrPort, call func(context.Context, messenger.ControlClient) (string, error)) (string, error) {
	conn, err := messenger.Dial(host)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	return call(ctx, messenger.NewControlClient(conn))
}
