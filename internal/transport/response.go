package transport

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidFieldName reports a response with a field whose name is no token (RFC 9110,
// section 5.1). Nothing tells what the field was, so that the length of the body, which a field
// states, is not known either.
var ErrInvalidFieldName = errors.New("response has a field with an invalid name")

// CheckFieldNames returns an ErrInvalidFieldName if a field of a header or a trailer has an
// invalid name. net/http accepts blanks in names, and takes such a field for one that it doesn't
// know. A name without values is that of a trailer that was announced and didn't come.
func CheckFieldNames(fields http.Header) error {
	for name, values := range fields {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("field %q: %w", name, ErrInvalidFieldName)
		}
	}
	return nil
}
