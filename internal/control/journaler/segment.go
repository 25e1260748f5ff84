package journaler

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// segmentMagic starts the header of every segment. Its last byte is the version
// of the format.
const segmentMagic = "gpjrnl\x00\x01"

// segmentHeaderSize is the size in bytes of the payload of a segment's first
// page: magic 8, identity 8, sequence 8, checkpoint 1.
const segmentHeaderSize = 25

// segmentSuffix ends the name of a segment file.
const segmentSuffix = ".log"

// temporarySuffix marks a segment that is not complete yet.
const temporarySuffix = ".tmp"

// ErrDamaged means that stored data fails its checks. The folder must be
// treated as a lost disk.
var ErrDamaged = errors.New("data folder is damaged")

// ErrForeign means that a segment was written by another host than the folder's
// other segments, or not by this program.
var ErrForeign = errors.New("data folder holds a file of another host or program")

// segmentHeader is the content of the first page of a segment.
type segmentHeader struct {
	// identity is that of the data folder, sequence the number of the segment.
	identity uint64
	sequence uint64
	// checkpoint is true if the first batch holds the whole state, so that no
	// earlier segment is needed.
	checkpoint bool
	// previousBatch is the number of the last batch before this segment.
	previousBatch uint64
}

// segmentName returns the file name of the segment with the given number.
func segmentName(sequence uint64) string {
	return fmt.Sprintf("%016x%s", sequence, segmentSuffix)
}

// parseSegmentName returns the sequence number in the name of a segment file.
// It reports false for the names of other files.
func parseSegmentName(name string) (uint64, bool) {
	text, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	sequence, err := strconv.ParseUint(text, 16, 64)
	return sequence, err == nil && segmentName(sequence) == name
}

// appendSegmentHeader appends the header page of a segment to dst.
func appendSegmentHeader(dst []byte, h segmentHeader) []byte {
	payload := []byte(segmentMagic)
	payload = binary.LittleEndian.AppendUint64(payload, h.identity)
	payload = binary.LittleEndian.AppendUint64(payload, h.sequence)
	checkpointByte := byte(0)
	if h.checkpoint {
		checkpointByte = 1
	}
	payload = append(payload, checkpointByte)
	return appendPage(dst, 0, page{batch: h.previousBatch, data: payload})
}

// decodeSegmentHeader decodes the header of the segment with the given number
// from the start of raw, the content of its file. A segment gets its name only
// after its header is durable, so a missing header is damage.
func decodeSegmentHeader(raw []byte, sequence uint64) (segmentHeader, error) {
	p, state := decodePage(raw, 0)
	if state != pageValid {
		return segmentHeader{}, errors.Wrapf(ErrDamaged, "header of %s", segmentName(sequence))
	}
	if len(p.data) != segmentHeaderSize || string(p.data[:8]) != segmentMagic {
		return segmentHeader{}, errors.Wrapf(ErrForeign, "unknown format of %s", segmentName(sequence))
	}
	h := segmentHeader{
		identity:      binary.LittleEndian.Uint64(p.data[8:]),
		sequence:      binary.LittleEndian.Uint64(p.data[16:]),
		checkpoint:    p.data[24] == 1,
		previousBatch: p.batch,
	}
	if h.sequence != sequence {
		return segmentHeader{}, errors.Wrapf(ErrDamaged, "%s holds the header of segment %d", segmentName(sequence), h.sequence)
	}
	return h, nil
}

// scanBatches passes the batches of a segment to apply in order. raw is the
// content of the file and h its header. It returns the number of the last batch
// and the length of the file in bytes up to its end. After the last batch there
// may only be an unfinished write, which was never acknowledged; anything else
// is ErrDamaged.
func scanBatches(raw []byte, h segmentHeader, apply func(Batch) error) (last uint64, length int, err error) {
	last, length = h.previousBatch, pageSize
	for {
		payload, pages := decodeBatchPages(raw[length:], h.sequence, last+1)
		if pages == 0 {
			break
		}
		b, err := decodeBatch(payload)
		if err == nil {
			err = apply(b)
		}
		if err != nil {
			return last, length, errors.Wrapf(ErrDamaged, "batch %d of %s: %v", last+1, segmentName(h.sequence), err)
		}
		last++
		length += pages * pageSize
	}
	if !isTornWrite(raw[length:], h.sequence, last+1) {
		return last, length, errors.Wrapf(ErrDamaged, "invalid data in %s after byte %d", segmentName(h.sequence), length)
	}
	return last, length, nil
}

// decodeBatchPages returns the payload of the complete batch at the start of
// raw and the number of its pages. It returns 0 pages unless raw starts with the
// batch of that number in the segment of that number.
func decodeBatchPages(raw []byte, segment, batch uint64) ([]byte, int) {
	var payload []byte
	for position := 0; ; position++ {
		p, state := decodePage(raw[min(len(raw), position*pageSize):], segment)
		if state != pageValid || p.batch != batch || p.position != uint32(position) || p.position >= p.pageCount {
			return nil, 0
		}
		payload = append(payload, p.data...)
		if p.position == p.pageCount-1 {
			return payload, position + 1
		}
	}
}

// isTornWrite reports whether raw, which does not start with a complete batch,
// can be the result of a crash while the given batch was written: each page is
// either absent or a page of that batch in its position. A batch is written
// only after the one before it is durable, so pages of a later batch mean that
// an acknowledged one is lost.
func isTornWrite(raw []byte, segment, batch uint64) bool {
	count := uint32(0)
	for position := uint32(0); len(raw) > 0; position++ {
		p, state := decodePage(raw, segment)
		switch {
		case state == pageDamaged:
			return false
		case state == pageAbsent:
		case p.batch != batch || p.position != position || p.position >= p.pageCount:
			return false
		case count != 0 && p.pageCount != count:
			return false
		default:
			count = p.pageCount
		}
		raw = raw[min(len(raw), pageSize):]
	}
	return true
}
