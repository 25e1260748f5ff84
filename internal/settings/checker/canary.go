package checker

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Canary -linecomment

// Canary states when a request that has not completed before is first sent to one
// shard alone.
type Canary int

const (
	// CanaryAlert uses a canary only while a crash was reported for the
	// archive in the last 10 min. It is the default.
	CanaryAlert Canary = iota // alert
	// CanaryAlways uses a canary for each request that has not completed before.
	CanaryAlways // always
	// CanaryOff uses no canary.
	CanaryOff // off
)

// canaryByName returns the value that a configuration document writes as name,
// or false if there is none.
func canaryByName(name string) (Canary, bool) {
	for c := CanaryAlert; c <= CanaryOff; c++ {
		if c.String() == name {
			return c, true
		}
	}
	return 0, false
}
