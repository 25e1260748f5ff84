package journaler

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// magic starts every segment; its last byte is the version of the format.
const magic = "gpjrnl\x00\x01"

// headLength is the payload of a segment's first page: magic 8, identity 8,
// sequence 8, base 1.
const headLength = 25

const segmentSuffix = ".log"

const temporarySuffix = ".tmp"

// ErrDamaged reports stored data that does not pass its checks. The folder
// must be treated as a lost disk.
var ErrDamaged = errors.New("data folder is damaged")

// ErrForeign reports a segment that was not written by the owner of the
// folder's other segments, or not by this program.
var ErrForeign = errors.New("data folder holds a file of another host or program")

// head is the first page of a segment.
type head struct {
	identity uint64
	sequence uint64
	// base is true when the first batch holds the whole state, so that no
	// earlier segment is needed.
	base bool
	// last is the number of the last batch before this segment.
	last uint64
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%016x%s", sequence, segmentSuffix)
}

// segmentSequence returns the number in a segment's file name.
func segmentSequence(name string) (uint64, bool) {
	text, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	sequence, err := strconv.ParseUint(text, 16, 64)
	return sequence, err == nil && segmentName(sequence) == name
}

func appendHead(dst []byte, h head) []byte {
	payload := []byte(magic)
	payload = binary.LittleEndian.AppendUint64(payload, h.identity)
	payload = binary.LittleEndian.AppendUint64(payload, h.sequence)
	base := byte(0)
	if h.base {
		base = 1
	}
	payload = append(payload, base)
	return appendPage(dst, 0, page{batch: h.last, data: payload})
}

// readHead decodes the head of the segment with the given number. A segment
// gets its name only after its head is durable, so a missing head is damage.
func readHead(raw []byte, sequence uint64) (head, error) {
	p, state := readPage(raw, 0)
	if state != pageValid {
		return head{}, errors.Wrapf(ErrDamaged, "head of %s", segmentName(sequence))
	}
	if len(p.data) != headLength || string(p.data[:8]) != magic {
		return head{}, errors.Wrapf(ErrForeign, "format of %s", segmentName(sequence))
	}
	h := head{
		identity: binary.LittleEndian.Uint64(p.data[8:]),
		sequence: binary.LittleEndian.Uint64(p.data[16:]),
		base:     p.data[24] == 1,
		last:     p.batch,
	}
	if h.sequence != sequence {
		return head{}, errors.Wrapf(ErrDamaged, "%s holds segment %d", segmentName(sequence), h.sequence)
	}
	return h, nil
}

// scan reads the batches of a segment in order and returns the number of the
// last one and the length in bytes up to its end. What follows is an
// unfinished write that was never acknowledged; anything else is ErrDamaged.
func scan(raw []byte, h head, apply func(Batch) error) (last uint64, length int, err error) {
	last, length = h.last, pageSize
	for {
		payload, pages := readPages(raw[length:], h.sequence, last+1)
		if pages == 0 {
			break
		}
		b, err := readBatch(payload)
		if err == nil {
			err = apply(b)
		}
		if err != nil {
			return last, length, errors.Wrapf(ErrDamaged, "batch %d of %s: %v", last+1, segmentName(h.sequence), err)
		}
		last++
		length += pages * pageSize
	}
	if !torn(raw[length:], h.sequence, last+1) {
		return last, length, errors.Wrapf(ErrDamaged, "%s after byte %d", segmentName(h.sequence), length)
	}
	return last, length, nil
}

// readPages returns the payload of a complete batch at the start of raw and
// the number of its pages, or 0 pages.
func readPages(raw []byte, segment, batch uint64) ([]byte, int) {
	var payload []byte
	for place := 0; ; place++ {
		p, state := readPage(raw[min(len(raw), place*pageSize):], segment)
		if state != pageValid || p.batch != batch || p.place != uint32(place) || p.place >= p.count {
			return nil, 0
		}
		payload = append(payload, p.data...)
		if p.place == p.count-1 {
			return payload, place + 1
		}
	}
}

// torn reports whether raw, which does not start with a complete batch, is
// what a crash leaves of writing the given batch: each page is either absent
// or in its place. A batch is written only after the one before it is
// durable, so pages of a later batch mean that an acknowledged one is gone.
func torn(raw []byte, segment, batch uint64) bool {
	count := uint32(0)
	for place := uint32(0); len(raw) > 0; place++ {
		p, state := readPage(raw, segment)
		switch {
		case state == pageDamaged:
			return false
		case state == pageAbsent:
		case p.batch != batch || p.place != place || p.place >= p.count:
			return false
		case count != 0 && p.count != count:
			return false
		default:
			count = p.count
		}
		raw = raw[min(len(raw), pageSize):]
	}
	return true
}
