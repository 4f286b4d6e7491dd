package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// MaxMessageBytes limits the size of one request or response message.
const MaxMessageBytes = 8 << 20

// Secret authenticates the processes of one site to each other. An empty Secret
// accepts every request.
type Secret string

// compressMinBytes is the size from which a response is compressed. Below it gzip
// costs more than it saves.
const compressMinBytes = 4 << 10

const bearerPrefix = "Bearer "

// Handle registers serve on mux for procedure, a path such as "/ledger/reserve".
// Requests without the right secret are refused. An error that wraps ErrUnavailable,
// ErrInvalid or context.DeadlineExceeded is sent with the matching Connect code, any
// other error as unknown.
func Handle[Request, Response any](mux *http.ServeMux, secret Secret, procedure string, serve func(context.Context, *Request) (*Response, error)) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
		if !secret.authorizes(request.Header()) {
			return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("peer secret does not match"))
		}
		response, err := serve(ctx, request.Msg)
		if err != nil {
			return nil, connect.NewError(codeOf(err), err)
		}
		return connect.NewResponse(response), nil
	}
	handler := connect.NewUnaryHandler(procedure, unary, connect.WithCodec(codec{}), connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(MaxMessageBytes))
	mux.Handle(procedure, handler)
}

// authorizes reports whether header carries the secret. It compares in constant
// time.
func (s Secret) authorizes(header http.Header) bool {
	if s == "" {
		return true
	}
	authorization := header.Get("Authorization")
	return subtle.ConstantTimeCompare([]byte(authorization), []byte(bearerPrefix+string(s))) == 1
}

// Client calls procedures of other processes and authenticates with Secret.
type Client struct {
	HTTP   *http.Client
	Secret Secret
}

// Call sends request to procedure of the process at address, a host and a port, and
// returns the response. Its error wraps the *connect.Error with the code that the
// process sent.
func Call[Request, Response any](ctx context.Context, client *Client, address, procedure string, request *Request) (*Response, error) {
	caller := connect.NewClient[Request, Response](client.HTTP, "http://"+address+procedure, connect.WithCodec(codec{}), connect.WithReadMaxBytes(MaxMessageBytes))
	message := connect.NewRequest(request)
	if client.Secret != "" {
		message.Header().Set("Authorization", bearerPrefix+string(client.Secret))
	}
	response, err := caller.CallUnary(ctx, message)
	if err != nil {
		return nil, errors.Newf("call %s: %w", procedure, err)
	}
	return response.Msg, nil
}

// ErrUnavailable marks an error after which the same call may succeed later or at
// another instance.
var ErrUnavailable = errors.New("unavailable")

// Unavailable wraps err with the name of the failed operation and marks it with
// ErrUnavailable. errors.Newf can't do both: with two %w it wraps neither error.
func Unavailable(operation string, err error) error {
	return errors.Mark(errors.Newf("%s: %w", operation, err), ErrUnavailable)
}

// ErrInvalid marks an error that the same call will return again, so that a retry
// is useless.
var ErrInvalid = errors.New("invalid")

// codeOf returns the Connect code for an error of a handler.
func codeOf(err error) connect.Code {
	if errors.Is(err, ErrUnavailable) {
		return connect.CodeUnavailable
	}
	if errors.Is(err, ErrInvalid) {
		return connect.CodeInvalidArgument
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return connect.CodeDeadlineExceeded
	}
	return connect.CodeUnknown
}
