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

// Limits and defaults of a back end's weight.
const (
	DefaultWeight uint16 = 100
	MaxWeight     uint16 = 1000
)

// FieldError names one bad field of a document.
type FieldError struct {
	Field   string // e.g. "frontends[1].address"
	Value   string
	Problem string
}

// Error gives field, value and problem in one line.
func (err FieldError) Error() string {
	return fmt.Sprintf("%s %q: %s", err.Field, err.Value, err.Problem)
}

// ValidationError holds every bad field of one document.
type ValidationError struct {
	Key    string // the document's key in the store
	Fields []FieldError
}

// Error lists all bad fields.
func (err *ValidationError) Error() string {
	lines := make([]string, len(err.Fields))
	for index, field := range err.Fields {
		lines[index] = field.Error()
	}
	return err.Key + ": " + strings.Join(lines, "; ")
}

// problems collects the bad fields of one document.
type problems []FieldError

func (list *problems) add(field, value, problem string) {
	*list = append(*list, FieldError{Field: field, Value: value, Problem: problem})
}

func (list *problems) check(field, value string, err error) {
	if err != nil {
		list.add(field, value, err.Error())
	}
}

func (list problems) result(key string) error {
	if len(list) == 0 {
		return nil
	}
	return &ValidationError{Key: key, Fields: list}
}

// Validate checks the service by itself and gives all errors at once, as a *ValidationError.
func (service *Service) Validate() error {
	var found problems
	found.check("name", string(service.Name), ValidateName(string(service.Name)))
	if len(service.Frontends) == 0 {
		found.add("frontends", "", "at least one is needed")
	}
	seen := make(map[lb.Frontend]bool, len(service.Frontends))
	for index, frontend := range service.Frontends {
		field := fmt.Sprintf("frontends[%d]", index)
		found.checkAddress(field+".address", frontend.Address)
		if frontend.Protocol != lb.TCP && frontend.Protocol != lb.UDP {
			found.add(field+".protocol", frontend.Protocol.String(), "must be tcp or udp")
		}
		if seen[frontend] {
			found.add(field, frontend.String(), "is given twice")
		}
		seen[frontend] = true
	}
	selector, err := ParseSelector(service.Selector)
	found.check("selector", service.Selector, err)
	if err == nil && len(selector.Requirements) == 0 {
		found.add("selector", service.Selector, "must have at least one term")
	}
	return found.result(ServiceKey(service.Name))
}

// Validate checks the back end by itself and gives all errors at once, as a *ValidationError.
func (backend *Backend) Validate() error {
	var found problems
	found.check("name", string(backend.Name), ValidateName(string(backend.Name)))
	found.checkAddress("host", backend.Host)
	found.check("zone", string(backend.Zone), ValidateName(string(backend.Zone)))
	for _, key := range slices.Sorted(maps.Keys(backend.Labels)) {
		found.check("labels key", key, ValidateLabelKey(key))
		value := backend.Labels[key]
		found.check("labels["+key+"]", value, ValidateLabelValue(value))
	}
	if backend.Probe != "" {
		if problem := probeProblem(backend.Probe); problem != "" {
			found.add("probe", backend.Probe, problem)
		}
	}
	if backend.Weight > MaxWeight {
		found.add("weight", fmt.Sprint(backend.Weight), fmt.Sprintf("must be 1 to %d", MaxWeight))
	}
	return found.result(BackendKey(backend.Name))
}

// EffectiveWeight is the operator's weight, or the default where none is given.
func (backend *Backend) EffectiveWeight() uint16 {
	if backend.Weight == 0 {
		return DefaultWeight
	}
	return backend.Weight
}

func (list *problems) checkAddress(field string, address netip.AddrPort) {
	if problem := addressProblem(address); problem != "" {
		text := ""
		if address.IsValid() {
			text = address.String()
		}
		list.add(field, text, problem)
	}
}

// addressProblem says what is wrong with an address that packets are sent to; loopback is allowed.
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
