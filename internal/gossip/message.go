package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// The first byte of a datagram tells what it holds.
	formatPrompt       = 1
	formatLoanRequest  = 2
	formatLoanResponse = 3
	formatList         = 4
	// maxSegments and maxName bound what a message holds.
	maxSegments       = 16
	maxNameLength     = 255
	maxDatagramLength = 1024
)

// errInvalidDatagram reports a datagram that is no message.
var errInvalidDatagram = errors.New("the datagram is not a message of an entry")

// promptMessage tells of one prompt that was sent to a server. On the wire stand the
// format, the length and bytes of the server's id, the work in microseconds,
// the number of parts and their ids.
type promptMessage struct {
	server      string
	prefillTime time.Duration
	segments    []place.PrefixSegment
}

func (m promptMessage) append(buffer []byte) []byte {
	name := m.server[:min(len(m.server), maxNameLength)]
	segments := m.segments[:min(len(m.segments), maxSegments)]
	buffer = append(buffer, formatPrompt, byte(len(name)))
	buffer = append(buffer, name...)
	micros := min(m.prefillTime.Microseconds(), math.MaxUint32)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(micros))
	buffer = append(buffer, byte(len(segments)))
	for _, segment := range segments {
		buffer = binary.BigEndian.AppendUint64(buffer, segment.ID)
	}
	return buffer
}

func decodePrompt(data []byte) (promptMessage, error) {
	const fixed = 2 + 4 + 1
	if len(data) < fixed || data[0] != formatPrompt {
		return promptMessage{}, errInvalidDatagram
	}
	length := int(data[1])
	data = data[2:]
	if len(data) < length+5 {
		return promptMessage{}, errInvalidDatagram
	}
	m := promptMessage{server: string(data[:length])}
	data = data[length:]
	m.prefillTime = time.Duration(binary.BigEndian.Uint32(data)) * time.Microsecond
	count := int(data[4])
	data = data[5:]
	if len(data) != 8*count || count > maxSegments {
		return promptMessage{}, errInvalidDatagram
	}
	for ; len(data) > 0; data = data[8:] {
		m.segments = append(m.segments, place.PrefixSegment{ID: binary.BigEndian.Uint64(data)})
	}
	return m, nil
}
