// Package ranker merges the parts of a fan-out: the greatest records of all
// parts, greatest first.
package ranker

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes. A shorter rest at the end of a
// part is no record.
const RecordSize = 16

// Greatest returns the greatest count records of the parts, compared byte by
// byte, greatest first. Equal records all count.
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
