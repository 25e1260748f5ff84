// Package ranker merges the parts of a fan-out into the greatest records of all parts.
package ranker

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes. Greatest ignores a shorter remainder at
// the end of a part.
const RecordSize = 16

// Greatest returns up to count of the greatest records of the parts in descending
// bytewise order. Duplicates are kept.
func Greatest(parts [][]byte, count int) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / RecordSize
	}
	records := make([][]byte, 0, total)
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			records = append(records, p[:RecordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(max(count, 0), len(records))]
	merged := make([]byte, 0, len(records)*RecordSize)
	for _, r := range records {
		merged = append(merged, r...)
	}
	return merged
}
