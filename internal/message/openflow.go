package message

import (
	"robinpulley.example/robinpulley/internal/lb"
)

// TypeOpenFlows is the type of messages about flows that a late answer to their opening must
// not move (package conntrack).
const TypeOpenFlows Type = "open_flows"

// OpenFlow is a flow and the token of the back end at which it is open.
type OpenFlow struct {
	Flow         lb.FlowID `json:"f"`
	OpeningID    uint32    `json:"o,omitempty"`
	Token        uint32    `json:"t"`
	Acknowledged uint32    `json:"a"`
}

// OpenFlows announces flows along the trees over the zones and between their first nodes, to
// all nodes that did not know them.
type OpenFlows struct {
	Flows []OpenFlow `json:"flows,omitempty"`
	// Ask: the sender has just started, and asks for the flows of the last seconds.
	Ask bool `json:"ask,omitempty"`
}

// MessageType implements Message.
func (OpenFlows) MessageType() Type { return TypeOpenFlows }

func validateOpenFlows(message OpenFlows) error {
	return checkCount(TypeOpenFlows, "flows", len(message.Flows), MaxFlows)
}
