package messenger

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Request is a message that is decoded only if there is memory for it. A service passes it to the
// decoder of a call in place of the message.
type Request struct {
	Message any
	// Reserve is called before the message is decoded, with the bytes that were received and about
	// those that the decoded message takes. If it returns false, the message is not decoded and
	// stays empty; the decoder reports no error, which grpc would send to the client as its own.
	Reserve func(received, decoded int64) bool
}

// Sizes in bytes of parts of decoded messages, rounded up.
const (
	// messageBytes is that of a message without fields, and fieldBytes that of a field of it.
	messageBytes = 64
	fieldBytes   = 24
	// elementBytes is that of a number or a pointer in a list, which has up to twice the room that
	// its elements need, and textBytes that of a string or bytes beside the content.
	elementBytes = 16
	textBytes    = 48
)

// decodedBytes returns about how much memory the message that data encodes takes once it is decoded.
// What cannot be decoded is not counted.
func decodedBytes(data []byte, d protoreflect.MessageDescriptor) int64 {
	fields := d.Fields()
	total := int64(messageBytes + fieldBytes*fields.Len())
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			break
		}
		size := protowire.ConsumeFieldValue(number, kind, data[n:])
		if size < 0 {
			break
		}
		value := data[n : n+size]
		data = data[n+size:]
		total += valueBytes(fields.ByNumber(number), kind, value, n)
	}
	return total
}

// valueBytes returns the same for the encoded value of a field, whose tag has the given length. The
// field is nil if it is unknown.
func valueBytes(field protoreflect.FieldDescriptor, kind protowire.Type, value []byte, tag int) int64 {
	// Fields that are unknown or of another type are kept as they are, in one slice that grows.
	kept := 2 * int64(tag+len(value))
	if field == nil {
		return kept
	}
	content, n := protowire.ConsumeBytes(value)
	hasLength := kind == protowire.BytesType && n >= 0
	switch field.Kind() {
	case protoreflect.MessageKind:
		if hasLength {
			return elementBytes + decodedBytes(content, field.Message())
		}
		return kept
	case protoreflect.StringKind, protoreflect.BytesKind:
		if hasLength {
			return textBytes + int64(len(content))
		}
		return kept
	}
	switch {
	case !hasLength && field.IsList():
		return elementBytes
	case !hasLength:
		return 0
	case field.IsList():
		// A packed list has at least a byte for each number.
		return elementBytes * int64(len(content))
	}
	return kept
}

// reserve asks for the memory of the message that data encodes. A nil Request needs none.
func (r *Request) reserve(data []byte, m proto.Message) bool {
	if r == nil {
		return true
	}
	return r.Reserve(int64(len(data)), decodedBytes(data, m.ProtoReflect().Descriptor()))
}
