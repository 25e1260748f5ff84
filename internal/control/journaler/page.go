package journaler

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// pageSize is the size in bytes of a page. It is the smallest sector size in
// use, because a disk writes a sector as a whole.
const pageSize = 512

// pageHeaderSize is the size in bytes of a page's fields before its data:
// checksum 4, batch 8, position 4, page count 4, length 2, zero 2.
const pageHeaderSize = 24

// maxPagePayload is the number of bytes of a batch's payload that fit into one
// page.
const maxPagePayload = pageSize - pageHeaderSize

// castagnoli is the table of CRC-32C. It detects every burst error of up to 32
// bits, so a changed byte is always detected.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// page is one checksummed unit of a segment. Segments consist of whole pages.
type page struct {
	// batch is the number of the batch that the page belongs to.
	batch uint64
	// position is the page's position among the pageCount pages of its batch.
	position  uint32
	pageCount uint32
	// data is the page's part of the batch's payload.
	data []byte
}

// pageState tells whether a page can be used.
type pageState uint8

const (
	// pageDamaged is a page that was written but whose checksum or length is
	// wrong.
	pageDamaged pageState = iota
	// pageValid is a page whose checksum and length are right.
	pageValid
	// pageAbsent is a page that was never written. It consists of zeros or lies
	// beyond the end of the file.
	pageAbsent
)

// pageChecksum returns the checksum of a page. It includes the number of the
// page's segment, so that a page of another segment is not accepted.
func pageChecksum(raw []byte, segment uint64) uint32 {
	seed := binary.LittleEndian.AppendUint64(nil, segment)
	return crc32.Update(crc32.Checksum(seed, castagnoli), castagnoli, raw[4:])
}

// appendPage appends the encoding of p as a page of the segment with the given
// number to dst.
func appendPage(dst []byte, segment uint64, p page) []byte {
	at := len(dst)
	dst = append(dst, make([]byte, pageSize)...)
	raw := dst[at:]
	binary.LittleEndian.PutUint64(raw[4:], p.batch)
	binary.LittleEndian.PutUint32(raw[12:], p.position)
	binary.LittleEndian.PutUint32(raw[16:], p.pageCount)
	binary.LittleEndian.PutUint16(raw[20:], uint16(len(p.data)))
	copy(raw[pageHeaderSize:], p.data)
	binary.LittleEndian.PutUint32(raw, pageChecksum(raw, segment))
	return dst
}

// appendPages appends the pages of a batch with the given payload to dst.
func appendPages(dst []byte, segment, batch uint64, payload []byte) []byte {
	count := max(1, (len(payload)+maxPagePayload-1)/maxPagePayload)
	dst = slices.Grow(dst, count*pageSize)
	for position := range count {
		n := min(len(payload), maxPagePayload)
		p := page{batch: batch, position: uint32(position), pageCount: uint32(count), data: payload[:n]}
		dst = appendPage(dst, segment, p)
		payload = payload[n:]
	}
	return dst
}

// decodePage decodes the page of the segment with the given number at the start
// of raw. If raw ends within the page, the page counts as absent.
func decodePage(raw []byte, segment uint64) (page, pageState) {
	if len(raw) < pageSize {
		return page{}, pageAbsent
	}
	raw = raw[:pageSize]
	if binary.LittleEndian.Uint32(raw) != pageChecksum(raw, segment) {
		return page{}, damagedOrAbsent(raw)
	}
	length := int(binary.LittleEndian.Uint16(raw[20:]))
	if length > maxPagePayload {
		return page{}, pageDamaged
	}
	return page{
		batch:     binary.LittleEndian.Uint64(raw[4:]),
		position:  binary.LittleEndian.Uint32(raw[12:]),
		pageCount: binary.LittleEndian.Uint32(raw[16:]),
		data:      raw[pageHeaderSize : pageHeaderSize+length],
	}, pageValid
}

// damagedOrAbsent returns the state of a page whose checksum is wrong.
func damagedOrAbsent(raw []byte) pageState {
	for _, b := range raw {
		if b != 0 {
			return pageDamaged
		}
	}
	return pageAbsent
}
