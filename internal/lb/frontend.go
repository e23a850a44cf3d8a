package lb

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// FrontendKey is a front end in the form found in a FlowKey; it is a map key.
type FrontendKey struct {
	Address  [16]byte
	Port     uint16
	Protocol Protocol
}

// Key gives the front end as a map key.
func (frontend *Frontend) Key() FrontendKey {
	return FrontendKey{
		Address:  frontend.Address.Addr().As16(),
		Port:     frontend.Address.Port(),
		Protocol: frontend.Protocol,
	}
}

// Frontend gives the front end that the flow goes to.
func (key *FlowKey) Frontend() FrontendKey {
	return FrontendKey{Address: key.Destination, Port: key.DestinationPort, Protocol: key.Protocol}
}

// frontendKeyBytes is the size of the byte form that is hashed.
const frontendKeyBytes = 16 + 2 + 1

// Hash hashes the key. It allocates nothing.
func (key *FrontendKey) Hash() uint64 {
	var buffer [frontendKeyBytes]byte
	copy(buffer[0:16], key.Address[:])
	binary.BigEndian.PutUint16(buffer[16:18], key.Port)
	buffer[18] = uint8(key.Protocol)
	return xxhash.Sum64(buffer[:])
}
