package allotter

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Mode -linecomment -output=mode_string.go
//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Verdict -linecomment -output=verdict_string.go

// Mode is how a host grants requests.
type Mode int

const (
	// Unconnected hosts have had no contact with the control hosts and grant nothing.
	Unconnected Mode = iota // unconnected
	// InTouch hosts ask the lenders, may lend, and use a small share of their own if no
	// lender replies.
	InTouch // in touch
	// OutOfTouch hosts do the same, but do not lend.
	OutOfTouch // out of touch
	// Alone hosts have heard neither from the control hosts nor from lenders for so long
	// that these miss them, and use their part of the limit.
	Alone // alone
)

// Verdict is the reply of a lender. Its numbers are part of messages.
type Verdict uint32

const (
	// NotLender means that the host is not the lender of the account as far as it knows.
	NotLender Verdict = iota // not the lender
	// Granted means that the request may run.
	Granted // granted
	// Refused means that the account has no room.
	Refused // refused
	// UnknownAccount means that the host knows no limit of the account.
	UnknownAccount // unknown account
)
