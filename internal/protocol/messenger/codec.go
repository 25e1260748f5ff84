package messenger

import (
	"github.com/go-faster/errors"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"
)

// errNoMessage reports a value that the codec cannot handle.
var errNoMessage = errors.New("not a protobuf message")

// minBufferExponent and maxBufferExponent are the binary logarithms of the smallest and the largest
// buffer size that is pooled.
const (
	minBufferExponent = 10
	maxBufferExponent = 20
)

// buffers holds buffers of all powers of two in that range. grpc's own pool has none between 32 KiB
// and 1 MiB, so that a request of 33 KiB takes 1 MiB.
var buffers = newBufferPool()

func newBufferPool() mem.BufferPool {
	var exponents []uint8
	for e := uint8(minBufferExponent); e <= maxBufferExponent; e++ {
		exponents = append(exponents, e)
	}
	pool, err := mem.NewBinaryTieredBufferPool(exponents...)
	if err != nil {
		// The exponents are constants.
		panic(err)
	}
	return pool
}

// poolFor returns the pool of the buffer for a message. Messages that are larger or smaller than the
// pooled buffers get one of their own.
func poolFor(size int) mem.BufferPool {
	if size < 1<<minBufferExponent || size > 1<<maxBufferExponent {
		return mem.NopBufferPool{}
	}
	return buffers
}

// codec encodes messages as grpc's own codec for protobuf does, with buffers that fit them. It decodes
// a Request after it has reserved memory.
type codec struct{}

var _ encoding.CodecV2 = codec{}

// Name implements encoding.CodecV2.
func (codec) Name() string { return "proto" }

// Marshal implements encoding.CodecV2.
func (codec) Marshal(v any) (mem.BufferSlice, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, errors.Wrapf(errNoMessage, "encode %T", v)
	}
	size := proto.Size(m)
	pool := poolFor(size)
	buf := pool.Get(size)
	if _, err := (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend((*buf)[:0], m); err != nil {
		pool.Put(buf)
		return nil, err
	}
	return mem.BufferSlice{mem.NewBuffer(buf, pool)}, nil
}

// Unmarshal implements encoding.CodecV2.
func (codec) Unmarshal(data mem.BufferSlice, v any) error {
	request, _ := v.(*Request)
	if request != nil {
		v = request.Message
	}
	m, ok := v.(proto.Message)
	if !ok {
		return errors.Wrapf(errNoMessage, "decode %T", v)
	}
	buf := data.MaterializeToBuffer(poolFor(data.Len()))
	defer buf.Free()
	if !request.reserve(buf.ReadOnlyData(), m) {
		return nil
	}
	return proto.Unmarshal(buf.ReadOnlyData(), m)
}
