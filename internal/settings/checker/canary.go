package checker

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Canary -linecomment

// Canary states when an unknown request is first sent to one shard alone.
type Canary int

const (
	// CanaryAlert uses a canary only while a crash was seen in the archive in
	// the last 10 min. It is the default.
	CanaryAlert Canary = iota // alert
	// CanaryAlways uses a canary for each unknown request.
	CanaryAlways // always
	// CanaryOff uses no canary.
	CanaryOff // off
)

func canaryByName(name string) (Canary, bool) {
	for c := CanaryAlert; c <= CanaryOff; c++ {
		if c.String() == name {
			return c, true
		}
	}
	return 0, false
}
