package journaler

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// pageSize is the number of bytes that a disk writes as a whole. 512 is the
// smallest sector in use.
const pageSize = 512

// pageHead is the size in bytes of a page's fields before its payload:
// checksum 4, batch 8, place 4, count 4, length 2, zero 2.
const pageHead = 24

// pageRoom is the payload in bytes that fits in a page.
const pageRoom = pageSize - pageHead

// castagnoli detects every error of up to 32 bits in a row, so a flipped byte
// never passes.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// page is one checksummed unit of a segment.
type page struct {
	// batch is the number of the batch that the page belongs to.
	batch uint64
	// place is the page's position among the count pages of its batch.
	place uint32
	count uint32
	data  []byte
}

// pageState is what a stretch of a segment holds.
type pageState uint8

const (
	pageDamaged pageState = iota
	pageValid
	// pageAbsent is a page that was never written: it reads as zeros or lies
	// beyond the end of the file.
	pageAbsent
)

// checksum covers a page and the number of its segment, so that a page of
// another segment is not accepted.
func checksum(raw []byte, segment uint64) uint32 {
	seed := binary.LittleEndian.AppendUint64(nil, segment)
	return crc32.Update(crc32.Checksum(seed, castagnoli), castagnoli, raw[4:])
}

// appendPage appends one page to dst.
func appendPage(dst []byte, segment uint64, p page) []byte {
	at := len(dst)
	dst = append(dst, make([]byte, pageSize)...)
	raw := dst[at:]
	binary.LittleEndian.PutUint64(raw[4:], p.batch)
	binary.LittleEndian.PutUint32(raw[12:], p.place)
	binary.LittleEndian.PutUint32(raw[16:], p.count)
	binary.LittleEndian.PutUint16(raw[20:], uint16(len(p.data)))
	copy(raw[pageHead:], p.data)
	binary.LittleEndian.PutUint32(raw, checksum(raw, segment))
	return dst
}

// appendPages appends payload as the pages of one batch.
func appendPages(dst []byte, segment, batch uint64, payload []byte) []byte {
	count := max(1, (len(payload)+pageRoom-1)/pageRoom)
	dst = slices.Grow(dst, count*pageSize)
	for place := range count {
		n := min(len(payload), pageRoom)
		p := page{batch: batch, place: uint32(place), count: uint32(count), data: payload[:n]}
		dst = appendPage(dst, segment, p)
		payload = payload[n:]
	}
	return dst
}

// readPage decodes the page at the start of raw. A file that ends inside a
// page does not hold that page.
func readPage(raw []byte, segment uint64) (page, pageState) {
	if len(raw) < pageSize {
		return page{}, pageAbsent
	}
	raw = raw[:pageSize]
	if binary.LittleEndian.Uint32(raw) != checksum(raw, segment) {
		return page{}, damagedOrAbsent(raw)
	}
	length := int(binary.LittleEndian.Uint16(raw[20:]))
	if length > pageRoom {
		return page{}, pageDamaged
	}
	return page{
		batch: binary.LittleEndian.Uint64(raw[4:]),
		place: binary.LittleEndian.Uint32(raw[12:]),
		count: binary.LittleEndian.Uint32(raw[16:]),
		data:  raw[pageHead : pageHead+length],
	}, pageValid
}

func damagedOrAbsent(raw []byte) pageState {
	for _, b := range raw {
		if b != 0 {
			return pageDamaged
		}
	}
	return pageAbsent
}
