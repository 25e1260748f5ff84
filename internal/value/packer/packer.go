// Package packer compresses documents that are stored and sent to many hosts.
package packer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"
)

// ErrDamaged means that data was not returned by Pack, or that its text exceeds the
// limit.
var ErrDamaged = errors.New("packed data is damaged")

// Pack returns text compressed with gzip.
func Pack(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack: create gzip writer")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "pack: compress text")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack: finish gzip stream")
	}
	return b.Bytes(), nil
}

// Unpack returns the text that was passed to Pack. The text may have limit bytes at
// most. All errors are ErrDamaged.
func Unpack(packed []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	text, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	if int64(len(text)) > limit {
		return nil, errors.Wrapf(ErrDamaged, "text exceeds %d bytes", limit)
	}
	return text, nil
}
