package journaler

import (
	"encoding/binary"

	"github.com/go-faster/errors"
)

// itemKind is the first byte of each item in the payload of a batch. The values
// are part of the file format.
type itemKind uint8

// Each kind is the encoding of the field of Batch that it is named after.
const (
	itemHardState itemKind = 1
	itemSnapshot  itemKind = 2
	itemRecord    itemKind = 3
)

// errUnknownContent means that a payload passed its checksum but cannot be
// decoded, because another version of this program wrote it.
var errUnknownContent = errors.New("unknown content")

// appendBatch appends the encoding of b to dst.
func appendBatch(dst []byte, b Batch) []byte {
	if h := b.HardState; h != nil {
		dst = append(dst, byte(itemHardState))
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

// appendBytes appends data to dst, preceded by its length.
func appendBytes(dst, data []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(data)))
	return append(dst, data...)
}

// payloadReader decodes values from the start of a payload. After a failure it
// returns zero values.
type payloadReader struct {
	// remaining is the part of the payload that is not decoded yet.
	remaining []byte
	// failed is set once a value could not be decoded.
	failed bool
}

// uvarint returns the next unsigned varint.
func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.remaining)
	if n <= 0 {
		r.failed = true
		r.remaining = nil
		return 0
	}
	r.remaining = r.remaining[n:]
	return v
}

// bytes returns the next byte string, which is preceded by its length.
func (r *payloadReader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.remaining)) {
		r.failed = true
		r.remaining = nil
		return nil
	}
	data := r.remaining[:n:n]
	r.remaining = r.remaining[n:]
	return data
}

// decodeBatch decodes the payload of a batch. The result shares memory with
// payload.
func decodeBatch(payload []byte) (Batch, error) {
	var b Batch
	r := payloadReader{remaining: payload}
	for len(r.remaining) > 0 && !r.failed {
		kind := itemKind(r.remaining[0])
		r.remaining = r.remaining[1:]
		switch kind {
		case itemHardState:
			b.HardState = &HardState{Term: r.uvarint(), Vote: r.uvarint(), Commit: r.uvarint()}
		case itemSnapshot:
			b.Snapshot = &Snapshot{Index: r.uvarint(), Term: r.uvarint(), Data: r.bytes()}
		case itemRecord:
			b.Records = append(b.Records, Record{Term: r.uvarint(), Index: r.uvarint(), Kind: uint32(r.uvarint()), Data: r.bytes()})
		default:
			r.failed = true
		}
	}
	if r.failed {
		return Batch{}, errUnknownContent
	}
	return b, nil
}
