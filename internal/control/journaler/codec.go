package journaler

import (
	"encoding/binary"

	"github.com/go-faster/errors"
)

// itemKind is the first byte of each item in a batch's payload.
type itemKind uint8

const (
	itemHard     itemKind = 1
	itemSnapshot itemKind = 2
	itemRecord   itemKind = 3
)

// errPayload reports a payload that passed its checksum and still cannot be
// read, which means it was written by another version of this program.
var errPayload = errors.New("unknown content")

// appendBatch encodes b.
func appendBatch(dst []byte, b Batch) []byte {
	if h := b.HardState; h != nil {
		dst = append(dst, byte(itemHard))
		dst = binary.AppendUvarint(dst, h.Term)
		dst = binary.AppendUvarint(dst, h.Vote)
		dst = binary.AppendUvarint(dst, h.Commit)
	}
	if s := b.Snapshot; s != nil {
		dst = append(dst, byte(itemSnapshot))
		dst = binary.AppendUvarint(dst, s.Index)
		dst = binary.AppendUvarint(dst, s.Term)
		dst = appendBytes(dst, s.Data)
	}
	for _, r := range b.Records {
		dst = append(dst, byte(itemRecord))
		dst = binary.AppendUvarint(dst, r.Term)
		dst = binary.AppendUvarint(dst, r.Index)
		dst = binary.AppendUvarint(dst, uint64(r.Kind))
		dst = appendBytes(dst, r.Data)
	}
	return dst
}

func appendBytes(dst, data []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(data)))
	return append(dst, data...)
}

// reader takes values from the front of a payload and remembers a failure.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed = true
		r.rest = nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.number()
	if n > uint64(len(r.rest)) {
		r.failed = true
		r.rest = nil
		return nil
	}
	data := r.rest[:n:n]
	r.rest = r.rest[n:]
	return data
}

// readBatch decodes a payload. The result shares memory with it.
func readBatch(payload []byte) (Batch, error) {
	var b Batch
	r := reader{rest: payload}
	for len(r.rest) > 0 && !r.failed {
		kind := itemKind(r.rest[0])
		r.rest = r.rest[1:]
		switch kind {
		case itemHard:
			b.HardState = &HardState{Term: r.number(), Vote: r.number(), Commit: r.number()}
		case itemSnapshot:
			b.Snapshot = &Snapshot{Index: r.number(), Term: r.number(), Data: r.bytes()}
		case itemRecord:
			b.Records = append(b.Records, Record{Term: r.number(), Index: r.number(), Kind: uint32(r.number()), Data: r.bytes()})
		default:
			r.failed = true
		}
	}
	if r.failed {
		return Batch{}, errPayload
	}
	return b, nil
}
