package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// The first byte of a datagram is the format of its message.
	formatPrompt             = 1
	formatLoanRequest        = 2
	formatLoanResponse       = 3
	formatList               = 4
	formatStreamAnnouncement = 5
	formatStreamQuery        = 6
	formatStreamAnswer       = 7
	formatEvidence           = 8
	formatLimit              = 9
	formatReachQuery         = 10
	formatReachAnswer        = 11
	formatLoads              = 12
	formatEchoRequest        = 14
	formatEchoAnswer         = 15
	formatCold               = 16
	formatProbeRequest       = 17
	// maxSegments and maxNameLength bound the contents of a message.
	maxSegments   = 16
	maxNameLength = 255
	// maxDatagramLength is the size of the receive buffer in bytes; it exceeds
	// every encoded message.
	maxDatagramLength = 1024
)

// errInvalidDatagram reports a datagram that can't be decoded or that a peer
// must not send.
var errInvalidDatagram = errors.New("invalid datagram")

// promptMessage announces one prompt sent to a server. It is encoded as the
// format, the length and bytes of the server id, the prefill time in
// microseconds, the number of prefix segments and their ids. Numbers are
// big-endian.
type promptMessage struct {
	server      string
	prefillTime time.Duration
	segments    []place.PrefixSegment
}

// append appends the encoded message to buffer. It truncates a server id or a
// prefix that is too long.
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

// decodePrompt decodes a promptMessage or returns errInvalidDatagram.
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
