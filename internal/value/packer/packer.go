// Package packer compresses documents that are stored and sent to many hosts.
package packer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"
)

// ErrDamaged means that data is not what Pack returned, or is too long.
var ErrDamaged = errors.New("packed data is damaged")

// Pack returns the compressed text.
func Pack(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return b.Bytes(), nil
}

// Unpack returns the text of packed data, of limit bytes at most. Errors are
// ErrDamaged.
func Unpack(data []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	text, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	if int64(len(text)) > limit {
		return nil, errors.Wrapf(ErrDamaged, "more than %d bytes", limit)
	}
	return text, nil
}
