package allotter

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Mode -linecomment -output=mode_string.go
//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Verdict -linecomment -output=verdict_string.go

// Mode is how a host grants requests.
type Mode int

const (
	// Unconnected hosts have had no contact with the control hosts and grant nothing.
	Unconnected Mode = iota // unconnected
	// InTouch hosts ask the lenders, and use a small share of their own if these do not
	// reply.
	InTouch // in touch
	// OutOfTouch hosts have that share alone.
	OutOfTouch // out of touch
	// Alone hosts have their part of the limit, because the control hosts miss them.
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
