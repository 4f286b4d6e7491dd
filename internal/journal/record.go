package journal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

const (
	headerBytes = 8
	// MaxRecordBytes bounds the payload of one record.
	MaxRecordBytes = 16 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged reports a record that fails its checksum although whole records
// follow it, which no crash can leave behind.
var ErrDamaged = errors.New("journal is damaged before its end: restore the disk or remove this member and add it under a new id")

// ErrTooLarge reports a payload above MaxRecordBytes.
var ErrTooLarge = errors.New("journal record is too large")

// AppendRecord appends the framed payload to buffer. The payload must be
// within MaxRecordBytes.
func AppendRecord(buffer, payload []byte) []byte {
	return appendRecord(buffer, payload)
}

// appendRecord appends the framed payload: length, checksum, payload.
func appendRecord(buffer, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:4], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:8], checksum(header[0:4], payload))
	buffer = append(buffer, header[:]...)
	return append(buffer, payload...)
}

// Encode frames a payload of any size as records of at most MaxRecordBytes.
func Encode(payload []byte) []byte {
	var framed []byte
	for len(payload) > 0 {
		size := min(len(payload), MaxRecordBytes)
		framed = appendRecord(framed, payload[:size])
		payload = payload[size:]
	}
	return framed
}

func checksum(length, payload []byte) uint32 {
	sum := crc32.Update(0, castagnoli, length)
	return crc32.Update(sum, castagnoli, payload)
}

// Decode splits data into records and returns the size in bytes of the whole
// ones. A torn tail is left out; damage before the end is ErrDamaged.
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

// anyRecordAfter tells whether a whole record starts at or after offset.
func hasRecordAfter(data []byte, offset int) bool {
	for ; offset+headerBytes < len(data); offset++ {
		_, _, ok := decodeRecord(data, offset)
		if ok {
			return true
		}
	}
	return false
}
