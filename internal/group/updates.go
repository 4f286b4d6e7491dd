package group

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	// maxCachedUpdates bounds the cached updates.
	maxCachedUpdates = 8
	// minCompressedUpdate is the size in bytes from which updates are sent compressed.
	minCompressedUpdate = 4 << 10
)

// updateCache caches updates between versions, because many instances request the same
// one after a change. Its zero value is ready to use.
type updateCache struct {
	mu      sync.Mutex
	updates map[updateKey]*update
}

// updateKey names an update; from is 0 for a whole document.
type updateKey struct {
	from uint64
	to   uint64
}

// update is one merge patch between two versions, or a whole document.
type update struct {
	data []byte

	once       sync.Once
	compressed []byte
}

// get returns the update with the given key, and makes it from what load returns if it is
// not cached.
func (c *updateCache) get(key updateKey, load func() []byte) *update {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.updates[key]
	if u != nil {
		return u
	}
	u = &update{data: load()}
	if len(c.updates) >= maxCachedUpdates || c.updates == nil {
		c.updates = make(map[updateKey]*update)
	}
	c.updates[key] = u
	return u
}

// gzip returns the compressed data, or nil if it is small. A control instance that
// compressed a large update for each instance anew would need seconds for dozens of them.
func (u *update) gzip() []byte {
	u.once.Do(func() {
		if len(u.data) < minCompressedUpdate {
			return
		}
		var buffer bytes.Buffer
		w := gzip.NewWriter(&buffer)
		_, _ = w.Write(u.data)
		_ = w.Close()
		u.compressed = buffer.Bytes()
	})
	return u.compressed
}

// combinedPatch returns one merge patch between two versions; its data is nil if the
// history lacks one of them.
func (g *Group) combinedPatch(from, to uint64) *update {
	return g.updates.get(updateKey{from: from, to: to}, func() []byte {
		diff, err := g.Diff(from, to)
		if err != nil {
			return nil
		}
		return diff
	})
}

// compress replaces the document or the combined patch of a response by its compressed
// form, if that is smaller than what it was made from.
func (g *Group) compress(request *watchRequest, response *watchResponse) {
	switch {
	case len(response.Document) > 0:
		document := response.Document
		u := g.updates.get(updateKey{to: response.Number}, func() []byte { return document })
		response.CompressedDocument = u.gzip()
		if response.CompressedDocument != nil {
			response.Document = nil
		}
	case len(response.CombinedPatch) > 0:
		response.CompressedPatch = g.combinedPatch(request.HaveVersion, response.Number).gzip()
		if response.CompressedPatch != nil {
			response.CombinedPatch = nil
		}
	}
}

// decompress restores the document or the combined patch of a response.
func (r *watchResponse) decompress() error {
	var err error
	if len(r.CompressedDocument) > 0 {
		r.Document, err = gunzip(r.CompressedDocument)
	}
	if err == nil && len(r.CompressedPatch) > 0 {
		r.CombinedPatch, err = gunzip(r.CompressedPatch)
	}
	return err
}

// gunzip returns the decompressed data, which must not exceed the size of a message.
func gunzip(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Newf("decompress update: %w", err)
	}
	decompressed, err := io.ReadAll(io.LimitReader(r, peer.MaxMessageBytes+1))
	if err != nil {
		return nil, errors.Newf("decompress update: %w", err)
	}
	if len(decompressed) > peer.MaxMessageBytes {
		return nil, errors.Newf("update exceeds %d bytes", peer.MaxMessageBytes)
	}
	return decompressed, nil
}
