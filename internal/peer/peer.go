package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// MaxMessageBytes bounds one message in either direction.
const MaxMessageBytes = 8 << 20

// Secret authenticates processes of one site to each other; the empty one
// admits everybody.
type Secret string

// compressMinBytes is the size from which an answer is compressed: gzip costs
// smaller ones more than it saves.
const compressMinBytes = 4 << 10

const bearerPrefix = "Bearer "

// Handle serves procedure, such as "/ledger/reserve", on mux.
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

func (s Secret) authorizes(header http.Header) bool {
	if s == "" {
		return true
	}
	authorization := header.Get("Authorization")
	return subtle.ConstantTimeCompare([]byte(authorization), []byte(bearerPrefix+string(s))) == 1
}

// Client calls procedures of other processes.
type Client struct {
	HTTP   *http.Client
	Secret Secret
}

// Call sends request to procedure of the process at address.
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

// ErrUnavailable marks an error after which the same call may succeed later
// or at another instance.
var ErrUnavailable = errors.New("unavailable")

// Unavailable wraps err with a few words and marks it with ErrUnavailable.
// Newf can't do so: with two %w it wraps neither.
func Unavailable(operation string, err error) error {
	return errors.Mark(errors.Newf("%s: %w", operation, err), ErrUnavailable)
}

// ErrInvalid marks an error that the same call will meet again.
var ErrInvalid = errors.New("invalid")

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
