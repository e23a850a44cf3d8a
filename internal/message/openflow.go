package message

import (
	"robinpulley.example/robinpulley/internal/lb"
)

// TypeOpenFlows is the type of messages about flows that a late answer to their opening must not
// move to another back end (package conntrack).
const TypeOpenFlows Type = "open_flows"

// OpenFlow is an open flow and the token of its back end.
type OpenFlow struct {
	Flow         lb.FlowID `json:"f"`
	OpeningID    uint32    `json:"o,omitempty"`
	Token        uint32    `json:"t"`
	Acknowledged uint32    `json:"a"`
}

// OpenFlows announces flows along the distribution trees of the zones and between the root nodes
// of the zones, until all nodes have received them.
type OpenFlows struct {
	Flows []OpenFlow `json:"flows,omitempty"`
	// Request is set by a sender that has just started. It requests the flows of the last seconds.
	Request bool `json:"ask,omitempty"`
}

// MessageType returns the type of the message.
func (OpenFlows) MessageType() Type { return TypeOpenFlows }

func validateOpenFlows(message OpenFlows) error {
	return checkCount(TypeOpenFlows, "flows", len(message.Flows), MaxFlows)
}
