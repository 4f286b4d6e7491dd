package group

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/peer"
)

// routesDocument returns a document with the given release and number of host routes.
func routesDocument(tb testing.TB, release, routes int) *config.Document {
	tb.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, `{"release":%d,"upstreams":{"pool":{}},"host_routes":{`, release)
	for i := range routes {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `"h%d.example/r%d/":{"name":"r-%d","host":"h%d.example","path_prefix":"/r%d/","repetition":"idempotent","timeout":"2s","upstreams":[{"upstream":"pool","weight":1}]}`, i%7, i, i, i%7, i)
	}
	text.WriteString("}}")
	document, err := config.Parse([]byte(text.String()))
	if err != nil {
		tb.Fatal(err)
	}
	return document
}

// groupWithRoutes returns a group whose second version has that many routes more.
func groupWithRoutes(tb testing.TB, routes int) *Group {
	tb.Helper()
	g := New(nil)
	for release, count := range []int{4, 4 + routes} {
		command, err := NewReplacement(routesDocument(tb, release+1, count), nil, time.Now())
		if err != nil {
			tb.Fatal(err)
		}
		encoded, err := encodeCommand(command)
		if err != nil {
			tb.Fatal(err)
		}
		g.Apply(encoded)
	}
	return g
}

// answer returns the response to an instance that has a version.
func (g *Group) answer(have uint64, acceptsCompressed bool) *watchResponse {
	request := &watchRequest{HaveVersion: have, AcceptsCompressed: acceptsCompressed}
	response := g.buildUpdate(request)
	if acceptsCompressed {
		g.compress(request, response)
	}
	return response
}

// TestLargeUpdatesAreCompressedOnce guards against a control instance that compresses a
// large update anew for each of many instances, which would get it too late.
func TestLargeUpdatesAreCompressedOnce(t *testing.T) {
	g := groupWithRoutes(t, 1600)
	for have, compressed := range map[uint64]func(*watchResponse) []byte{
		0: func(r *watchResponse) []byte { return r.CompressedDocument },
		1: func(r *watchResponse) []byte { return r.CompressedPatch },
	} {
		first, second := compressed(g.answer(have, true)), compressed(g.answer(have, true))
		if len(first) == 0 || &first[0] != &second[0] {
			t.Errorf("from version %d: the update is not compressed, or twice", have)
		}
		plain, small := g.answer(have, false), g.answer(have, true)
		if len(plain.CompressedDocument)+len(plain.CompressedPatch) > 0 {
			t.Errorf("from version %d: an instance that doesn't accept compressed updates gets one", have)
		}
		err := small.decompress()
		if err != nil || !bytes.Equal(small.Document, plain.Document) || !bytes.Equal(small.CombinedPatch, plain.CombinedPatch) {
			t.Errorf("from version %d: the decompressed update differs from the plain one, error %v", have, err)
		}
	}
}

// TestSmallUpdatesAreNotCompressed guards against the cost of compressing what is small.
func TestSmallUpdatesAreNotCompressed(t *testing.T) {
	g := groupWithRoutes(t, 1)
	response := g.answer(0, true)
	if len(response.CompressedDocument) > 0 || len(response.Document) == 0 {
		t.Errorf("a document of %d bytes is sent compressed", len(response.Document))
	}
}

// TestMalformedCompressedUpdates guards against an update that can't be decompressed or
// that would fill the memory.
func TestMalformedCompressedUpdates(t *testing.T) {
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, _ = w.Write(make([]byte, peer.MaxMessageBytes+1))
	_ = w.Close()
	for name, data := range map[string][]byte{"no gzip": []byte("text"), "cut": bomb.Bytes()[:100], "too large": bomb.Bytes()} {
		response := &watchResponse{CompressedPatch: data}
		if response.decompress() == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

// BenchmarkUpdate measures what one of many instances costs that request the same update.
func BenchmarkUpdate(b *testing.B) {
	for _, accepts := range []bool{false, true} {
		b.Run(fmt.Sprintf("compressed-%t", accepts), func(b *testing.B) {
			g := groupWithRoutes(b, 1600)
			for b.Loop() {
				encoded, err := peer.Encode(g.answer(1, accepts))
				if err != nil {
					b.Fatal(err)
				}
				var buffer bytes.Buffer
				w := gzip.NewWriter(&buffer)
				_, _ = w.Write(encoded)
				_ = w.Close()
				b.ReportMetric(float64(buffer.Len()), "B")
			}
		})
	}
}
