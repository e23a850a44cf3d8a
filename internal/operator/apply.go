package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
)

// Objects is a set of services and back ends, as in the files of the commands apply and export.
type Objects struct {
	Services []catalog.Service `json:"services"`
	Backends []catalog.Backend `json:"backends"`
}

// ReadObjects reads one or more YAML documents, each with the lists services and backends, and
// validates every object. It returns all validation errors together.
func ReadObjects(reader io.Reader) (Objects, error) {
	var all Objects
	decoder := yaml.NewDecoder(reader)
	for {
		var document any
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return all, all.validate()
		}
		if err != nil {
			return Objects{}, badInput(err)
		}
		objects, err := toObjects(document)
		if err != nil {
			return Objects{}, badInput(err)
		}
		all.Services = append(all.Services, objects.Services...)
		all.Backends = append(all.Backends, objects.Backends...)
	}
}

// toObjects converts a YAML document to objects. It converts the document to JSON first, because
// the field names of the objects are defined as JSON tags.
func toObjects(document any) (Objects, error) {
	var objects Objects
	if document == nil {
		return objects, nil
	}
	text, err := json.Marshal(document)
	if err != nil {
		return objects, errors.Wrap(err, "keys must be strings")
	}
	strict := json.NewDecoder(bytes.NewReader(text))
	strict.DisallowUnknownFields()
	return objects, strict.Decode(&objects)
}

// validate checks every object, and that no object and no front end occurs twice.
func (objects *Objects) validate() error {
	var all error
	services, backends := map[lb.ServiceName]bool{}, map[lb.BackendName]bool{}
	frontends := map[lb.Frontend]lb.ServiceName{}
	for index := range objects.Services {
		service := &objects.Services[index]
		all = errors.Join(all, service.Validate())
		if services[service.Name] {
			all = errors.Join(all, errors.Newf("service %q is listed twice", service.Name))
		}
		services[service.Name] = true
		for _, frontend := range service.Frontends {
			if owner, taken := frontends[frontend]; taken && owner != service.Name {
				all = errors.Join(all, errors.Newf("front end %s is listed for services %q and %q", frontend, owner, service.Name))
			}
			frontends[frontend] = service.Name
		}
	}
	for index := range objects.Backends {
		backend := &objects.Backends[index]
		all = errors.Join(all, backend.Validate())
		if backends[backend.Name] {
			all = errors.Join(all, errors.Newf("back end %q is listed twice", backend.Name))
		}
		backends[backend.Name] = true
	}
	if all == nil {
		return nil
	}
	return badInput(all)
}

// Apply creates or replaces the given objects, back ends first, each with its own compare-and-swap.
// It does not change other objects. It stops at the first error and returns the changes that it
// made before. A repeated Apply changes only objects that differ.
func (operator *Operator) Apply(ctx context.Context, objects Objects) ([]Change, error) {
	if err := objects.validate(); err != nil {
		return nil, err
	}
	var changes []Change
	for _, backend := range objects.Backends {
		change, err := replace(ctx, operator, backendKind, string(backend.Name), backend)
		if err != nil {
			return changes, errors.Wrapf(err, "back end %q", backend.Name)
		}
		changes = append(changes, change)
	}
	for _, service := range objects.Services {
		change, err := replace(ctx, operator, serviceKind, string(service.Name), service)
		if err != nil {
			return changes, errors.Wrapf(err, "service %q", service.Name)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// replace replaces the document with the given one, whether the stored document is valid, invalid
// or missing.
func replace[Document any](ctx context.Context, operator *Operator, kind *kind[Document], name string, document Document) (Change, error) {
	current, err := operator.client.Get(ctx, kind.key(name))
	if err != nil {
		return Change{}, err
	}
	old := stored[Document]{keyValue: current}
	if current.Exists() {
		if valid, err := kind.decode(current.Key, current.Value); err == nil {
			old.document = valid
		}
	}
	return write(ctx, operator, kind, name, old, &document)
}

// Export returns all valid objects, sorted by name and without write IDs. If there are invalid
// documents, it returns an error as well.
func (operator *Operator) Export(ctx context.Context) (Objects, error) {
	configuration, err := operator.readConfiguration(ctx)
	if err != nil {
		return Objects{}, err
	}
	objects := Objects{Services: []catalog.Service{}, Backends: configuration.index.Backends()}
	for index := range objects.Backends {
		objects.Backends[index].WriteID = ""
	}
	for _, name := range configuration.index.ServiceNames() {
		service := configuration.index.Desired(name).Service
		service.WriteID = ""
		objects.Services = append(objects.Services, service)
	}
	var all error
	for _, problem := range configuration.index.Problems() {
		all = errors.Join(all, problem.Cause)
	}
	return objects, all
}

// WriteObjects writes the objects as YAML that ReadObjects can read.
func WriteObjects(writer io.Writer, objects Objects) error {
	text, err := json.Marshal(objects)
	if err != nil {
		return err
	}
	var document yaml.Node // JSON is valid YAML, and a node preserves the order of fields
	if err := yaml.Unmarshal(text, &document); err != nil {
		return err
	}
	useBlockStyle(&document)
	encoder := yaml.NewEncoder(writer)
	encoder.SetIndent(2)
	if err := encoder.Encode(&document); err != nil {
		return err
	}
	return encoder.Close()
}

// useBlockStyle sets the style so that each item is on its own line and strings are quoted only
// where necessary.
func useBlockStyle(node *yaml.Node) {
	if !slices.Contains(yaml11Booleans, strings.ToLower(node.Value)) {
		node.Style = 0
	}
	for _, child := range node.Content {
		useBlockStyle(child)
	}
}

// yaml11Booleans are strings that YAML 1.1 parsers read as booleans, so they must stay quoted.
var yaml11Booleans = []string{"y", "yes", "n", "no", "on", "off"}
