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
	formatPrompt = 1
	formatAsk    = 2
	formatAnswer = 3
	formatList   = 4
	// maxParts and maxName bound what a message holds.
	maxParts   = 16
	maxName    = 255
	maxMessage = 1024
)

// errMessage reports a datagram that is no message.
var errMessage = errors.New("the datagram is not a message of an entry")

// message tells of one prompt that was sent to a server. On the wire stand the
// format, the length and bytes of the server's id, the work in microseconds,
// the number of parts and their ids.
type message struct {
	server string
	work   time.Duration
	parts  []place.PrefixSegment
}

func (m message) append(buffer []byte) []byte {
	name := m.server[:min(len(m.server), maxName)]
	parts := m.parts[:min(len(m.parts), maxParts)]
	buffer = append(buffer, formatPrompt, byte(len(name)))
	buffer = append(buffer, name...)
	micros := min(m.work.Microseconds(), math.MaxUint32)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(micros))
	buffer = append(buffer, byte(len(parts)))
	for _, part := range parts {
		buffer = binary.BigEndian.AppendUint64(buffer, part.ID)
	}
	return buffer
}

func decode(data []byte) (message, error) {
	const fixed = 2 + 4 + 1
	if len(data) < fixed || data[0] != formatPrompt {
		return message{}, errMessage
	}
	length := int(data[1])
	data = data[2:]
	if len(data) < length+5 {
		return message{}, errMessage
	}
	m := message{server: string(data[:length])}
	data = data[length:]
	m.work = time.Duration(binary.BigEndian.Uint32(data)) * time.Microsecond
	count := int(data[4])
	data = data[5:]
	if len(data) != 8*count || count > maxParts {
		return message{}, errMessage
	}
	for ; len(data) > 0; data = data[8:] {
		m.parts = append(m.parts, place.PrefixSegment{ID: binary.BigEndian.Uint64(data)})
	}
	return m, nil
}
