package pinner

import (
	"cmp"
	"strings"
)

// CompareVersions orders two snapshot versions. The result is negative when a is
// older than b. Versions of decimal digits only compare as numbers of any length,
// and each of them is older than any other text. Other texts compare by length and
// then byte by byte, so that "v9" is older than "v10". Numbers that differ only in
// leading zeros compare by length, so that the order is total and only identical
// versions are equal.
func CompareVersions(a, b string) int {
	an, bn := isNumber(a), isNumber(b)
	switch {
	case an && bn:
		return compareNumbers(a, b)
	case an:
		return -1
	case bn:
		return 1
	}
	return compareTexts(a, b)
}

// isNumber reports whether s consists of decimal digits only.
func isNumber(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != ""
}

// compareNumbers compares texts of decimal digits by value, and equal values by length.
func compareNumbers(a, b string) int {
	c := compareTexts(strings.TrimLeft(a, "0"), strings.TrimLeft(b, "0"))
	if c != 0 {
		return c
	}
	return cmp.Compare(len(a), len(b))
}

// compareTexts compares by length and then byte by byte.
func compareTexts(a, b string) int {
	if c := cmp.Compare(len(a), len(b)); c != 0 {
		return c
	}
	return strings.Compare(a, b)
}
