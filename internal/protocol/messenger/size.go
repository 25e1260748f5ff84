package messenger

import (
	"context"
	"strconv"

	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"
)

// sizeKey names the header field that announces the length of a request in bytes.
const sizeKey = "size"

// AnnounceSize returns a context for a call that tells the server the length of its request before
// the request itself, so that a server without memory for it can refuse the call unread. Servers of
// earlier versions ignore it.
func AnnounceSize(ctx context.Context, request proto.Message) context.Context {
	return metadata.AppendToOutgoingContext(ctx, sizeKey, strconv.Itoa(proto.Size(request)))
}

// AnnouncedSize returns the length in bytes that the header of a call announces, 0 if there is none
// or one that cannot be.
func AnnouncedSize(header metadata.MD) int64 {
	values := header.Get(sizeKey)
	if len(values) != 1 {
		return 0
	}
	n, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || n < 0 || n > MaxMessageBytes {
		return 0
	}
	return n
}
