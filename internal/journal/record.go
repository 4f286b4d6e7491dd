package journal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

const (
	// headerBytes is the size of a record header: length and checksum of the
	// payload, 4 bytes each, little endian.
	headerBytes = 8
	// MaxRecordBytes is the maximum size of the payload of one record.
	MaxRecordBytes = 16 << 20
)

// castagnoli is the table for CRC-32C checksums.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged reports an invalid record before the end of the journal: intact
// records follow it. A crash leaves an invalid record only at the end.
var ErrDamaged = errors.New("journal is damaged before its end: restore the disk or remove this member and add it under a new id")

// ErrTooLarge reports a payload that is empty or larger than MaxRecordBytes.
var ErrTooLarge = errors.New("journal record is too large")

// AppendRecord appends a record with that payload to buffer and returns the
// extended buffer. The payload must not be empty or larger than MaxRecordBytes.
func AppendRecord(buffer, payload []byte) []byte {
	return appendRecord(buffer, payload)
}

// appendRecord appends a record: length, checksum and payload.
func appendRecord(buffer, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:4], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:8], checksum(header[0:4], payload))
	buffer = append(buffer, header[:]...)
	return append(buffer, payload...)
}

// Encode returns a payload of any size as consecutive records of at most
// MaxRecordBytes each.
func Encode(payload []byte) []byte {
	var framed []byte
	for len(payload) > 0 {
		size := min(len(payload), MaxRecordBytes)
		framed = appendRecord(framed, payload[:size])
		payload = payload[size:]
	}
	return framed
}

// checksum returns the checksum of the encoded length and the payload.
func checksum(length, payload []byte) uint32 {
	sum := crc32.Update(0, castagnoli, length)
	return crc32.Update(sum, castagnoli, payload)
}

// Decode splits data into records. It returns their payloads, which share the
// memory of data, and the size in bytes of the complete records. An incomplete
// record at the end is ignored; an invalid one before intact records is an error
// that wraps ErrDamaged.
func Decode(data []byte) (records [][]byte, size int64, err error) {
	offset := 0
	for offset < len(data) {
		payload, next, ok := decodeRecord(data, offset)
		if !ok {
			if hasRecordAfter(data, offset+1) {
				return nil, 0, errors.Newf("record at byte %d: %w", offset, ErrDamaged)
			}
			return records, int64(offset), nil
		}
		records = append(records, payload)
		offset = next
	}
	return records, int64(offset), nil
}

// decodeRecord returns the payload of the record at offset and the offset of the
// next record, and reports whether the record is complete and its checksum
// correct.
func decodeRecord(data []byte, offset int) (payload []byte, next int, ok bool) {
	if len(data)-offset < headerBytes {
		return nil, 0, false
	}
	header := data[offset : offset+headerBytes]
	length := int(binary.LittleEndian.Uint32(header[0:4]))
	start := offset + headerBytes
	if length == 0 || length > MaxRecordBytes || length > len(data)-start {
		return nil, 0, false
	}
	payload = data[start : start+length]
	if checksum(header[0:4], payload) != binary.LittleEndian.Uint32(header[4:8]) {
		return nil, 0, false
	}
	return payload, start + length, true
}

// hasRecordAfter reports whether an intact record starts at or after offset.
func hasRecordAfter(data []byte, offset int) bool {
	for ; offset+headerBytes < len(data); offset++ {
		_, _, ok := decodeRecord(data, offset)
		if ok {
			return true
		}
	}
	return false
}
