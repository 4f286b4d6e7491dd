package operator

import (
	"context"
	"net/http"
	"net/url"
)

// Member is one member of the control group.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Learner is true until the member has synced all that is committed.
	Learner bool `json:"learner"`
	// Synced is the newest log index on its disk, as the leader knows it.
	Synced uint64 `json:"synced,omitempty"`
}

// ControlGroup is what one control instance knows of the group.
type ControlGroup struct {
	ID        string   `json:"id"`
	Role      string   `json:"role"`
	Term      uint64   `json:"term"`
	Leader    string   `json:"leader"`
	Committed uint64   `json:"committed"`
	Applied   uint64   `json:"applied"`
	Admitted  bool     `json:"admitted"`
	Members   []Member `json:"members"`
	Failure   string   `json:"failure,omitempty"`
}

type addMemberRequest struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// ControlGroup returns the members of the control group as the called instance
// knows them.
func (c *Client) ControlGroup(ctx context.Context) (ControlGroup, error) {
	var group ControlGroup
	err := c.call(ctx, http.MethodGet, "/v1/control_members", nil, &group)
	return group, err
}

// AddControlMember admits a control instance with an empty data folder as a
// learner. It votes once it has synced all that is committed. Address is its
// peer address.
func (c *Client) AddControlMember(ctx context.Context, id, address string) (ControlGroup, error) {
	var group ControlGroup
	err := c.call(ctx, http.MethodPost, "/v1/control_members", addMemberRequest{ID: id, Address: address}, &group)
	return group, err
}

// RemoveControlMember retires a member of the control group for good.
func (c *Client) RemoveControlMember(ctx context.Context, id string) (ControlGroup, error) {
	var group ControlGroup
	err := c.call(ctx, http.MethodDelete, "/v1/control_members/"+url.PathEscape(id), nil, &group)
	return group, err
}
