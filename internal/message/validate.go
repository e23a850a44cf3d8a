package message

import (
	"fmt"
	"net/netip"

	"robinpulley.example/robinpulley/internal/lb"
)

// These are the limits of the contents of one message. They bound the memory that a peer can make a
// node use. Senders split larger contents into several messages.
const (
	MaxNameBytes  = 253 // equals placement.MaxNameLength
	MaxUpdates    = 64
	MaxMembers    = 8192
	MaxFlows      = 4096
	MaxGroups     = 256
	MaxVersions   = 8192
	MaxPlacements = 4096
	MaxBackends   = 8192
	// MaxNodes is the maximum number of nodes that a report may cover.
	MaxNodes = 1 << 16
)

// validate checks the values of a message and returns its type. Both Encode and Decode call it.
func validate(message Message) (Type, error) {
	switch message := message.(type) {
	case Pins:
		return TypePins, validatePins(message)
	case Records:
		return TypeRecords, validateRecords(message)
	case RecordsAck:
		return TypeRecordsAck, nil
	case Clean:
		return TypeClean, validateClean(message)
	case Ping:
		return TypePing, validateUpdates(TypePing, message.Updates, MaxUpdates)
	case PingAck:
		return TypePingAck, validateUpdates(TypePingAck, message.Updates, MaxUpdates)
	case Members:
		return TypeMembers, validateUpdates(TypeMembers, message.Updates, MaxMembers)
	case PingReq:
		return TypePingReq, validatePingReq(message)
	case Digest:
		return TypeDigest, checkCount(TypeDigest, "groups", len(message.Groups), MaxGroups)
	case VersionList:
		return TypeVersionList, validateVersionList(message)
	case Placements:
		return TypePlacements, validatePlacements(message)
	case InForce:
		return TypeInForce, validateInForce(message)
	case Load:
		return TypeLoad, validateLoad(message)
	case ViewDigest:
		return TypeViewDigest, validateViewDigest(message)
	case ViewRequest:
		return TypeViewRequest, validateViewRequest(message)
	case OutcomeReport:
		return TypeOutcomeReport, validateOutcomeReport(message)
	case OutcomeVerdict:
		return TypeOutcomeVerdict, validateOutcomeVerdict(message)
	case LoadReport:
		return TypeLoadReport, validateLoadReport(message)
	case LoadState:
		return TypeLoadState, validateLoadState(message)
	case OpenFlows:
		return TypeOpenFlows, validateOpenFlows(message)
	case ViewDelta:
		return TypeViewDelta, validateViewDelta(message)
	}
	return "", fieldError("", "type", fmt.Sprintf("%T", message), "not a message passed by value")
}

func validatePins(message Pins) error {
	if err := checkName(TypePins, "service", string(message.Service)); err != nil {
		return err
	}
	return checkCount(TypePins, "flows", len(message.Flows), MaxFlows)
}

func validateRecords(message Records) error {
	if err := checkName(TypeRecords, "service", string(message.Service)); err != nil {
		return err
	}
	if err := checkCount(TypeRecords, "idle", len(message.IdleSeconds), len(message.Flows)); err != nil {
		return err
	}
	return checkCount(TypeRecords, "flows", len(message.Flows), MaxFlows)
}

func validateClean(message Clean) error {
	if err := checkName(TypeClean, "service", string(message.Service)); err != nil {
		return err
	}
	if err := checkCount(TypeClean, "buckets", len(message.Buckets), lb.BucketCount); err != nil {
		return err
	}
	for index, bucket := range message.Buckets {
		if bucket >= lb.BucketCount {
			return fieldError(TypeClean, fmt.Sprintf("buckets[%d]", index), bucket, "not a bucket")
		}
	}
	return nil
}

func validatePingReq(message PingReq) error {
	if err := checkName(TypePingReq, "t", string(message.Target)); err != nil {
		return err
	}
	return validateUpdates(TypePingReq, message.Updates, MaxUpdates)
}

func validateUpdates(kind Type, updates []MemberUpdate, limit int) error {
	if err := checkCount(kind, "u", len(updates), limit); err != nil {
		return err
	}
	for index := range updates {
		if err := validateUpdate(kind, index, &updates[index]); err != nil {
			return err
		}
	}
	return nil
}

// validateUpdate checks one update. Zone and addresses are required only for a node that accepts
// messages: suspect and dead updates may omit them.
func validateUpdate(kind Type, index int, update *MemberUpdate) error {
	field := func(name string) string { return fmt.Sprintf("u[%d].%s", index, name) }
	if err := checkName(kind, field("n"), string(update.Node)); err != nil {
		return err
	}
	switch update.State {
	case MemberAlive, MemberLeaving:
	case MemberSuspect, MemberDead:
		if update.Zone == "" && update.Control == "" && update.Data == "" {
			return nil
		}
	default:
		return fieldError(kind, field("s"), update.State, "unknown member state")
	}
	if err := checkName(kind, field("z"), string(update.Zone)); err != nil {
		return err
	}
	if err := checkAddress(kind, field("c"), update.Control); err != nil {
		return err
	}
	return checkAddress(kind, field("d"), update.Data)
}

func validateVersionList(message VersionList) error {
	if err := checkCount(TypeVersionList, "groups", len(message.Groups), MaxGroups); err != nil {
		return err
	}
	for index, group := range message.Groups {
		if group >= MaxGroups {
			return fieldError(TypeVersionList, fmt.Sprintf("groups[%d]", index), group, "not a group")
		}
	}
	return validateVersions(TypeVersionList, message.Versions)
}

func validateVersions(kind Type, versions []ServiceVersion) error {
	if err := checkCount(kind, "versions", len(versions), MaxVersions); err != nil {
		return err
	}
	for index := range versions {
		if err := checkName(kind, fmt.Sprintf("versions[%d].s", index), string(versions[index].Service)); err != nil {
			return err
		}
	}
	return nil
}

// validatePlacements checks only the names and protocols. The placement package checks whether a
// document is consistent, so that one invalid document does not invalidate the others in the
// message.
func validatePlacements(message Placements) error {
	if err := checkCount(TypePlacements, "placements", len(message.Placements), MaxPlacements); err != nil {
		return err
	}
	for index := range message.Placements {
		placement := &message.Placements[index]
		if err := checkName(TypePlacements, fmt.Sprintf("placements[%d].service", index), string(placement.Service)); err != nil {
			return err
		}
		for _, frontend := range placement.Frontends {
			if frontend.Protocol != lb.TCP && frontend.Protocol != lb.UDP {
				field := fmt.Sprintf("placements[%d].frontends", index)
				return fieldError(TypePlacements, field, frontend.Protocol, "neither tcp nor udp")
			}
		}
	}
	return nil
}

func validateInForce(message InForce) error {
	if err := checkName(TypeInForce, "zone", string(message.Zone)); err != nil {
		return err
	}
	if message.Nodes < 0 || message.Nodes > MaxNodes {
		return fieldError(TypeInForce, "nodes", message.Nodes, "out of range")
	}
	if message.Behind < 0 || message.Behind > message.Nodes {
		return fieldError(TypeInForce, "behind", message.Behind, "not between 0 and nodes")
	}
	if message.ConfigRevision < 0 {
		return fieldError(TypeInForce, "config_revision", message.ConfigRevision, "negative")
	}
	return validateVersions(TypeInForce, message.Versions)
}

func validateLoad(message Load) error {
	if err := checkName(TypeLoad, "zone", string(message.Zone)); err != nil {
		return err
	}
	if err := checkCount(TypeLoad, "backends", len(message.Backends), MaxBackends); err != nil {
		return err
	}
	for index := range message.Backends {
		if err := checkName(TypeLoad, fmt.Sprintf("backends[%d].b", index), string(message.Backends[index].Backend)); err != nil {
			return err
		}
	}
	return nil
}

func checkCount(kind Type, field string, count, limit int) error {
	if count <= limit {
		return nil
	}
	return fieldError(kind, field, count, fmt.Sprintf("more than %d entries", limit))
}

// checkName accepts 1 to MaxNameBytes visible ASCII characters except quotes and backslashes, so
// that names need no escaping in JSON and in logs.
func checkName(kind Type, field, name string) error {
	if name == "" {
		return fieldError(kind, field, name, "empty")
	}
	if len(name) > MaxNameBytes {
		return fieldError(kind, field, name, fmt.Sprintf("longer than %d bytes", MaxNameBytes))
	}
	for _, character := range []byte(name) {
		if character <= ' ' || character > '~' || character == '"' || character == '\\' {
			return fieldError(kind, field, name, "not visible ASCII without quote and backslash")
		}
	}
	return nil
}

func checkAddress(kind Type, field, text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return fieldError(kind, field, text, "not an IP address and port")
	}
	if address.Port() == 0 {
		return fieldError(kind, field, text, "port is zero")
	}
	return nil
}
