package catalog

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// FrontendPrefix is the prefix of the keys that assign front ends to services. There is one key per
// front end, and its value is the name of the service. It is written in the same transaction as the
// service's document, so that two operators cannot assign a front end to two services.
const FrontendPrefix = "/robinpulley/frontends/"

// LastChangeKey is the key of the LastChange document. Every transaction that changes the
// configuration writes it, so that its revision is the revision of the last change, including
// deletions.
const LastChangeKey = "/robinpulley/last-change"

// LastChange records who made the last change of the configuration, and which document it changed.
type LastChange struct {
	WriteID string   `json:"write_id"`
	By      string   `json:"by"`
	Action  string   `json:"action"` // e.g. "delete"
	Key     string   `json:"key"`    // the document's key
	Fields  []string `json:"fields,omitempty"`
}

// IsConfiguration reports whether the key is the key of a configuration document: of a service, a
// back end or an evacuated zone.
func IsConfiguration(key string) bool {
	return strings.HasPrefix(key, ServicePrefix) || strings.HasPrefix(key, BackendPrefix) || strings.HasPrefix(key, ZonePrefix)
}

// ServiceKey returns the store key of a service's document.
func ServiceKey(name lb.ServiceName) string { return ServicePrefix + string(name) }

// BackendKey returns the store key of a back end's document.
func BackendKey(name lb.BackendName) string { return BackendPrefix + string(name) }

// PlacementKey returns the store key of a service's placement.
func PlacementKey(name lb.ServiceName) string { return PlacementPrefix + string(name) }

// StatusKey returns the store key of a zone's status report.
func StatusKey(zone lb.Zone) string { return StatusPrefix + string(zone) }

// FrontendKey returns the store key that assigns the front end to a service.
func FrontendKey(frontend lb.Frontend) string {
	return FrontendPrefix + frontend.Protocol.String() + "/" + frontend.Address.String()
}

// DecodeService decodes and validates the service document under key.
func DecodeService(key string, value []byte) (Service, error) {
	var service Service
	if err := decodeStrictly(key, value, &service); err != nil {
		return Service{}, err
	}
	if err := checkName(key, ServicePrefix, string(service.Name)); err != nil {
		return Service{}, err
	}
	return service, service.Validate()
}

// DecodeBackend decodes and validates the back-end document under key.
func DecodeBackend(key string, value []byte) (Backend, error) {
	var backend Backend
	if err := decodeStrictly(key, value, &backend); err != nil {
		return Backend{}, err
	}
	if err := checkName(key, BackendPrefix, string(backend.Name)); err != nil {
		return Backend{}, err
	}
	return backend, backend.Validate()
}

// DecodeZoneStatus decodes the zone status report under key.
func DecodeZoneStatus(key string, value []byte) (ZoneStatus, error) {
	var status ZoneStatus
	if err := decodeStrictly(key, value, &status); err != nil {
		return ZoneStatus{}, err
	}
	return status, checkName(key, StatusPrefix, string(status.Zone))
}

// EncodeService validates the service and returns its encoded document.
func EncodeService(service *Service) ([]byte, error) {
	if err := service.Validate(); err != nil {
		return nil, err
	}
	return encode(ServiceKey(service.Name), service)
}

// EncodeBackend validates the back end and returns its encoded document.
func EncodeBackend(backend *Backend) ([]byte, error) {
	if err := backend.Validate(); err != nil {
		return nil, err
	}
	return encode(BackendKey(backend.Name), backend)
}

// EncodeZoneStatus returns the encoded status report of a zone.
func EncodeZoneStatus(status *ZoneStatus) ([]byte, error) {
	return encode(StatusKey(status.Zone), status)
}

// DecodeLastChange decodes the document under LastChangeKey.
func DecodeLastChange(value []byte) (LastChange, error) {
	var change LastChange
	return change, decodeStrictly(LastChangeKey, value, &change)
}

// EncodeLastChange returns the encoded document for LastChangeKey.
func EncodeLastChange(change *LastChange) ([]byte, error) { return encode(LastChangeKey, change) }

// ParseFrontend parses a front end in the form tcp://192.0.2.1:443.
func ParseFrontend(text string) (lb.Frontend, error) {
	scheme, rest, found := strings.Cut(text, "://")
	if !found {
		return lb.Frontend{}, errors.Newf("front end %q: must be tcp://IP:PORT or udp://IP:PORT", text)
	}
	protocol, err := lb.ParseProtocol(scheme)
	if err != nil {
		return lb.Frontend{}, errors.Wrapf(err, "front end %q", text)
	}
	address, err := netip.ParseAddrPort(rest)
	if err != nil {
		return lb.Frontend{}, errors.Wrapf(err, "front end %q", text)
	}
	return lb.Frontend{Address: address, Protocol: protocol}, nil
}

func encode(key string, document any) ([]byte, error) {
	value, err := json.Marshal(document)
	return value, errors.Wrapf(err, "%s: encode", key)
}

// decodeStrictly decodes value, which must contain exactly one JSON object and no unknown fields.
func decodeStrictly(key string, value []byte, document any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		return errors.Wrapf(err, "%s: decode", key)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Newf("%s: decode: data after the document, from byte %d", key, decoder.InputOffset())
	}
	return nil
}

// checkName returns a *ValidationError if the name in a document differs from the name in its key.
func checkName(key, prefix, name string) error {
	if expected := strings.TrimPrefix(key, prefix); expected != name {
		return &ValidationError{Key: key, Fields: []FieldError{{
			Field: "name", Value: name, Problem: "must be " + expected + ", as in the key",
		}}}
	}
	return nil
}
