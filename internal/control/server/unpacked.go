package server

import (
	"bytes"
	"sync"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/value/packer"
)

// unpackedDocument keeps the text of the routing document that was unpacked last, so that callers
// who read it at the same time share one copy. The zero value is empty.
type unpackedDocument struct {
	// mu guards packed and text, which do not change once they are set.
	mu           sync.Mutex
	packed, text []byte
}

// unpack returns the text of a packed document. The caller must not change it.
func (d *unpackedDocument) unpack(packed []byte) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.text != nil && bytes.Equal(packed, d.packed) {
		return d.text, nil
	}
	text, err := packer.Unpack(packed, messenger.MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	d.packed, d.text = packed, text
	return text, nil
}
