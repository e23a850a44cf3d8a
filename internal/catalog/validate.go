package catalog

import (
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"robinpulley.example/robinpulley/internal/lb"
)

// Default and limit of a back end's weight.
const (
	DefaultWeight uint16 = 100
	MaxWeight     uint16 = 1000
)

// FieldError is an invalid field of a document.
type FieldError struct {
	Field   string // e.g. "frontends[1].address"
	Value   string
	Problem string
}

// Error returns the field, its value and the problem in one line.
func (err FieldError) Error() string {
	return fmt.Sprintf("%s %q: %s", err.Field, err.Value, err.Problem)
}

// ValidationError lists all invalid fields of one document.
type ValidationError struct {
	Key    string // the document's key in the store
	Fields []FieldError
}

// Error returns the key and all invalid fields.
func (err *ValidationError) Error() string {
	lines := make([]string, len(err.Fields))
	for index, field := range err.Fields {
		lines[index] = field.Error()
	}
	return err.Key + ": " + strings.Join(lines, "; ")
}

// fieldErrors collects the invalid fields of one document.
type fieldErrors []FieldError

// add appends an invalid field.
func (list *fieldErrors) add(field, value, problem string) {
	*list = append(*list, FieldError{Field: field, Value: value, Problem: problem})
}

// check appends the field as invalid if err is not nil.
func (list *fieldErrors) check(field, value string, err error) {
	if err != nil {
		list.add(field, value, err.Error())
	}
}

// result returns a *ValidationError with all invalid fields, or nil if there are none.
func (list fieldErrors) result(key string) error {
	if len(list) == 0 {
		return nil
	}
	return &ValidationError{Key: key, Fields: list}
}

// Validate checks the document without regard to other documents. It returns all errors together as
// a *ValidationError.
func (service *Service) Validate() error {
	var invalid fieldErrors
	invalid.check("name", string(service.Name), ValidateName(string(service.Name)))
	if len(service.Frontends) == 0 {
		invalid.add("frontends", "", "at least one is required")
	}
	seen := make(map[lb.Frontend]bool, len(service.Frontends))
	for index, frontend := range service.Frontends {
		field := fmt.Sprintf("frontends[%d]", index)
		invalid.checkAddress(field+".address", frontend.Address)
		if frontend.Protocol != lb.TCP && frontend.Protocol != lb.UDP {
			invalid.add(field+".protocol", frontend.Protocol.String(), "must be tcp or udp")
		}
		if seen[frontend] {
			invalid.add(field, frontend.String(), "is listed twice")
		}
		seen[frontend] = true
	}
	selector, err := ParseSelector(service.Selector)
	invalid.check("selector", service.Selector, err)
	if err == nil && len(selector.Requirements) == 0 {
		invalid.add("selector", service.Selector, "must have at least one term")
	}
	return invalid.result(ServiceKey(service.Name))
}

// Validate checks the document without regard to other documents. It returns all errors together as
// a *ValidationError.
func (backend *Backend) Validate() error {
	var invalid fieldErrors
	invalid.check("name", string(backend.Name), ValidateName(string(backend.Name)))
	invalid.checkAddress("host", backend.Host)
	invalid.check("zone", string(backend.Zone), ValidateName(string(backend.Zone)))
	for _, key := range slices.Sorted(maps.Keys(backend.Labels)) {
		invalid.check("labels key", key, ValidateLabelKey(key))
		value := backend.Labels[key]
		invalid.check("labels["+key+"]", value, ValidateLabelValue(value))
	}
	if backend.Probe != "" {
		if problem := probeProblem(backend.Probe); problem != "" {
			invalid.add("probe", backend.Probe, problem)
		}
	}
	if backend.Weight > MaxWeight {
		invalid.add("weight", fmt.Sprint(backend.Weight), fmt.Sprintf("must be 1 to %d", MaxWeight))
	}
	return invalid.result(BackendKey(backend.Name))
}

// EffectiveWeight returns the configured weight, or the default if none is configured.
func (backend *Backend) EffectiveWeight() uint16 {
	if backend.Weight == 0 {
		return DefaultWeight
	}
	return backend.Weight
}

// checkAddress appends the field as invalid if packets cannot be sent to the address.
func (list *fieldErrors) checkAddress(field string, address netip.AddrPort) {
	if problem := addressProblem(address); problem != "" {
		text := ""
		if address.IsValid() {
			text = address.String()
		}
		list.add(field, text, problem)
	}
}

// addressProblem returns the reason why packets cannot be sent to the address, or "". Loopback
// addresses are valid.
func addressProblem(address netip.AddrPort) string {
	ip := address.Addr()
	switch {
	case !address.IsValid():
		return "must be IP:PORT"
	case address.Port() == 0:
		return "port must be 1 to 65535"
	case ip.IsUnspecified():
		return "must not be the unspecified address"
	case ip.IsMulticast():
		return "must not be a multicast address"
	case ip.Is4In6():
		return "must be written as an IPv4 address"
	case ip.Zone() != "":
		return "must not name an interface"
	}
	return ""
}

// probeProblem returns the reason why the probe URL is invalid, or "".
func probeProblem(probe string) string {
	parsed, err := url.Parse(probe)
	if err != nil {
		return "is not a URL"
	}
	if parsed.Scheme != "http" {
		return "scheme must be http"
	}
	address, err := netip.ParseAddrPort(parsed.Host)
	if err != nil {
		return "host must be IP:PORT"
	}
	return addressProblem(address)
}
