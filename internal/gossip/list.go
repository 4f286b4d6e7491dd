package gossip

import (
	"encoding/binary"
	"math"
	"time"
)

// listMessageLength is the length of an encoded listMessage: format, checksum
// and age.
const listMessageLength = 1 + 8 + 4

// listMessage announces which list of backend servers an entry read. It is
// encoded as the format, the checksum of the list and the time since the list
// was current, in milliseconds. Numbers are big-endian.
type listMessage struct {
	checksum uint64
	age      time.Duration
}

// append appends the encoded message to buffer.
func (m listMessage) append(buffer []byte) []byte {
	buffer = append(buffer, formatList)
	buffer = binary.BigEndian.AppendUint64(buffer, m.checksum)
	return binary.BigEndian.AppendUint32(buffer, uint32(min(max(0, m.age.Milliseconds()), math.MaxUint32)))
}

// decodeList decodes a listMessage or returns errInvalidDatagram.
func decodeList(data []byte) (listMessage, error) {
	if len(data) != listMessageLength || data[0] != formatList {
		return listMessage{}, errInvalidDatagram
	}
	return listMessage{
		checksum: binary.BigEndian.Uint64(data[1:]),
		age:      time.Duration(binary.BigEndian.Uint32(data[9:])) * time.Millisecond,
	}, nil
}

// AnnounceList sends all peers the checksum and the age of a list that this entry
// read.
func (g *Gossiper) AnnounceList(checksum uint64, age time.Duration) {
	g.sendAll(listMessage{checksum: checksum, age: age}.append(nil))
}
