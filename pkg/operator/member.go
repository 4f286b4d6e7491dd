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
	// Learner is true until the member becomes a voter, once it has synced all
	// committed log entries.
	Learner bool `json:"learner"`
	// Synced is the newest log index that the member has synced to its disk. Only
	// the leader knows it.
	Synced uint64 `json:"synced,omitempty"`
}

// ControlGroup is the state of the control group as one control instance knows it.
// Committed and Applied are log indexes, Admitted is true once the data folder of the
// instance belongs to the group, and Failure is why it no longer takes part, or empty.
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

// ControlGroup returns the state of the control group as the called instance knows
// it, which may be out of date.
func (c *Client) ControlGroup(ctx context.Context) (ControlGroup, error) {
	var group ControlGroup
	err := c.call(ctx, http.MethodGet, "/v1/control_members", nil, &group)
	return group, err
}

// AddControlMember adds a control instance with an empty data folder as a learner and
// returns the state of the group. The instance becomes a voter once it has synced all
// committed log entries. address is its peer address.
func (c *Client) AddControlMember(ctx context.Context, id, address string) (ControlGroup, error) {
	var group ControlGroup
	err := c.call(ctx, http.MethodPost, "/v1/control_members", addMemberRequest{ID: id, Address: address}, &group)
	return group, err
}

// RemoveControlMember removes a member of the control group and returns the state of
// the group. The member's id cannot be used again.
func (c *Client) RemoveControlMember(ctx context.Context, id string) (ControlGroup, error) {
	var group ControlGroup
	err := c.call(ctx, http.MethodDelete, "/v1/control_members/"+url.PathEscape(id), nil, &group)
	return group, err
}
