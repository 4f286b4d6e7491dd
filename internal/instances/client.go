package instances

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
)

const (
	listPath     = "/v1/instances"
	maxListBytes = 16 << 20
	stateLeaving = "leaving"
)

var (
	errAddress = errors.New("address that can't be dialed")
	// errNoItems reports a message without the array of items.
	errNoItems = errors.New("the platform's list has no items")
)

// listBody is the list as the platform sends it.
type listBody struct {
	Instances []json.RawMessage `json:"instances"`
}

// instanceBody is one instance of the list.
type instanceBody struct {
	// Address is an IP address and a port.
	Address string `json:"address"`
	State   string `json:"state"`
}

// Client reads a list that names servers by their address. It implements Lister.
type Client struct {
	HTTP *http.Client
	// Address is the platform's IP address and port.
	Address string
}

// List implements Lister. The id of an instance is its address.
func (c *Client) List(ctx context.Context) (Reading, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+listPath, nil)
	if err != nil {
		return Reading{}, errors.Newf("create request: %w", err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Reading{}, errors.Newf("request the platform's list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Reading{}, errors.Newf("platform responded with status %s", response.Status)
	}
	var body listBody
	err = json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&body)
	if err != nil {
		return Reading{}, errors.Newf("decode the platform's list: %w", err)
	}
	if body.Instances == nil {
		return Reading{}, errNoItems
	}
	var reading Reading
	for _, raw := range body.Instances {
		instance, err := decodeInstance(raw)
		if err != nil {
			reading.Skipped.Add("", err)
			continue
		}
		reading.Instances = append(reading.Instances, instance)
	}
	return reading, nil
}

// decodeInstance decodes one instance, or returns the reason for which it names no server.
func decodeInstance(raw json.RawMessage) (Instance, error) {
	var body instanceBody
	err := json.Unmarshal(raw, &body)
	if err != nil {
		return Instance{}, err
	}
	address, err := netip.ParseAddrPort(body.Address)
	if err != nil || address.Port() == 0 {
		return Instance{}, errAddress
	}
	return Instance{ID: body.Address, Address: body.Address, Leaving: body.State == stateLeaving}, nil
}
