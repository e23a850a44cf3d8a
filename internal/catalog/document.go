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

// FrontendPrefix holds one key per front end, whose value is the name of the
// service that has it. It is written in the same transaction as the service's
// document, so that two operators cannot give one front end to two services.
const FrontendPrefix = "/robinpulley/frontends/"

// LastChangeKey holds the operators' last change. It is written in the
// transaction of every change, so that its revision is that of the last one,
// deletions included.
const LastChangeKey = "/robinpulley/last-change"

// LastChange says who changed which document.
type LastChange struct {
	WriteID string   `json:"write_id"`
	By      string   `json:"by"`
	Action  string   `json:"action"` // e.g. "delete"
	Key     string   `json:"key"`    // the document's key
	Fields  []string `json:"fields,omitempty"`
}

// IsConfiguration tells whether the key is of an operators' document: a service,
// a back end or an evacuated zone.
func IsConfiguration(key string) bool {
	return strings.HasPrefix(key, ServicePrefix) || strings.HasPrefix(key, BackendPrefix) || strings.HasPrefix(key, ZonePrefix)
}

// ServiceKey is the store key of a service's document.
func ServiceKey(name lb.ServiceName) string { return ServicePrefix + string(name) }

// BackendKey is the store key of a back end's document.
func BackendKey(name lb.BackendName) string { return BackendPrefix + string(name) }

// PlacementKey is the store key of a service's placement.
func PlacementKey(name lb.ServiceName) string { return PlacementPrefix + string(name) }

// StatusKey is the store key of a zone's report.
func StatusKey(zone lb.Zone) string { return StatusPrefix + string(zone) }

// FrontendKey is the store key that says which service has the front end.
func FrontendKey(frontend lb.Frontend) string {
	return FrontendPrefix + frontend.Protocol.String() + "/" + frontend.Address.String()
}

// DecodeService reads and validates the document under key.
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

// DecodeBackend reads and validates the document under key.
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

// DecodeZoneStatus reads the zone report under key.
func DecodeZoneStatus(key string, value []byte) (ZoneStatus, error) {
	var status ZoneStatus
	if err := decodeStrictly(key, value, &status); err != nil {
		return ZoneStatus{}, err
	}
	return status, checkName(key, StatusPrefix, string(status.Zone))
}

// EncodeService validates the service and gives its document.
func EncodeService(service *Service) ([]byte, error) {
	if err := service.Validate(); err != nil {
		return nil, err
	}
	return encode(ServiceKey(service.Name), service)
}

// EncodeBackend validates the back end and gives its document.
func EncodeBackend(backend *Backend) ([]byte, error) {
	if err := backend.Validate(); err != nil {
		return nil, err
	}
	return encode(BackendKey(backend.Name), backend)
}

// EncodeZoneStatus gives the document of a zone's report.
func EncodeZoneStatus(status *ZoneStatus) ([]byte, error) {
	return encode(StatusKey(status.Zone), status)
}

// DecodeLastChange reads the document under LastChangeKey.
func DecodeLastChange(value []byte) (LastChange, error) {
	var change LastChange
	return change, decodeStrictly(LastChangeKey, value, &change)
}

// EncodeLastChange gives the document under LastChangeKey.
func EncodeLastChange(change *LastChange) ([]byte, error) { return encode(LastChangeKey, change) }

// ParseFrontend reads a front end written as tcp://192.0.2.1:443.
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

// decodeStrictly reads exactly one JSON object without unknown fields.
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

func checkName(key, prefix, name string) error {
	if expected := strings.TrimPrefix(key, prefix); expected != name {
		return &ValidationError{Key: key, Fields: []FieldError{{
			Field: "name", Value: name, Problem: "must be " + expected + ", as in the key",
		}}}
	}
	return nil
}
