package forward

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
)

// digest returns a number that identifies the requests of one workspace with the same
// method, host, target and body, at all entries. The workspace is part of it, so that no
// caller can make a request with the digest of another workspace's.
func (t *task) digest() uint64 {
	if !t.digested {
		t.requestDigest = digestOf(t.request, t.workspaceName())
		t.digested = true
	}
	return t.requestDigest
}

// digestOf returns the digest of a request of the named workspace.
func digestOf(r *Request, workspace string) uint64 {
	h := sha256.New()
	for _, part := range []string{workspace, r.Method, r.Host, r.Target} {
		// A length in front of each part keeps parts from running into each other.
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = r.Body.WriteTo(h)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// workspaceName returns the name of the request's workspace, or an empty string if it has
// none.
func (t *task) workspaceName() string {
	if t.workspace == nil {
		return ""
	}
	return t.workspace.Name
}
