package gossip

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

// Entries that read another server or prefix than was announced would place
// prompts by wrong estimates.
func TestPromptMessageRoundTrip(t *testing.T) {
	m := promptMessage{server: "i-7f3a", prefillTime: 123456 * time.Microsecond, segments: []place.PrefixSegment{{ID: 5}, {ID: 1 << 60}}}
	got, err := decodePrompt(m.append(nil))
	if err != nil || got.server != m.server || got.prefillTime != m.prefillTime || len(got.segments) != 2 || got.segments[1].ID != 1<<60 {
		t.Errorf("decoded %+v with error %v, want the encoded message", got, err)
	}
}

// Any datagram that can be decoded must encode to the same message, and no
// datagram may cause a panic.
func FuzzDecode(f *testing.F) {
	f.Add(promptMessage{server: "i", prefillTime: time.Second, segments: []place.PrefixSegment{{ID: 9}}}.append(nil))
	f.Add([]byte{formatPrompt})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodePrompt(data)
		if err != nil {
			return
		}
		again, err := decodePrompt(m.append(nil))
		if err != nil || again.server != m.server || again.prefillTime != m.prefillTime || len(again.segments) != len(m.segments) {
			t.Errorf("%+v was decoded as %+v with error %v after encoding", m, again, err)
		}
	})
}
