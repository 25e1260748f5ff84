package recorder

import (
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// MaxKey is the longest idempotency key in bytes.
const MaxKey = 256

// maxDigits is the greatest number of digits of the creation time in a key. It
// keeps the time within the range of protobuf timestamps.
const maxDigits = 11

// ErrKey is returned for a text that is no idempotency key.
var ErrKey = errors.New("an idempotency key is <creation time in Unix seconds>-<text>")

// CreationTime returns the creation time that an idempotency key states, or ErrKey.
func CreationTime(key string) (time.Time, error) {
	if len(key) > MaxKey || !utf8.ValidString(key) {
		return time.Time{}, ErrKey
	}
	digits, text, found := strings.Cut(key, "-")
	if !found || text == "" || len(digits) > maxDigits {
		return time.Time{}, ErrKey
	}
	// ParseUint refuses signs, so that a key has one reading only.
	seconds, err := strconv.ParseUint(digits, 10, 63)
	if err != nil {
		return time.Time{}, ErrKey
	}
	return time.Unix(int64(seconds), 0).UTC(), nil
}
