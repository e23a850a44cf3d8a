package lb

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// FrontendKey is the comparable form of a front end, used as a map key. It has the same form as the
// destination in a FlowKey.
type FrontendKey struct {
	Address  [16]byte
	Port     uint16
	Protocol Protocol
}

// Key returns the front end as a map key.
func (frontend *Frontend) Key() FrontendKey {
	return FrontendKey{
		Address:  frontend.Address.Addr().As16(),
		Port:     frontend.Address.Port(),
		Protocol: frontend.Protocol,
	}
}

// Frontend returns the front end that is the flow's destination.
func (key *FlowKey) Frontend() FrontendKey {
	return FrontendKey{Address: key.Destination, Port: key.DestinationPort, Protocol: key.Protocol}
}

// frontendKeyBytes is the size in bytes of the encoded form that is hashed.
const frontendKeyBytes = 16 + 2 + 1

// Hash returns a 64-bit hash of the key. It allocates nothing.
func (key *FrontendKey) Hash() uint64 {
	var buffer [frontendKeyBytes]byte
	copy(buffer[0:16], key.Address[:])
	binary.BigEndian.PutUint16(buffer[16:18], key.Port)
	buffer[18] = uint8(key.Protocol)
	return xxhash.Sum64(buffer[:])
}
