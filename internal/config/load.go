package config

import (
	"bytes"
	"io"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Load reads the settings file at path, overrides its values by the flags and checks the result. If
// path is empty, the settings come from the flags alone. Invalid settings cause an error of the
// type Problems.
func Load(path string, flags Overrides) (*Settings, error) {
	if path == "" {
		return Parse(nil, flags)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(err, "settings file %q", path)
	}
	return Parse(data, flags)
}

// Parse parses settings from YAML, overrides them by the flags and checks the result.
func Parse(data []byte, flags Overrides) (*Settings, error) {
	raw := defaultDocument()
	problems, readable := decode(data, &raw)
	if !readable {
		return nil, problems
	}
	raw.override(flags)
	checker := &checker{positions: sourcePositions(data), problems: problems}
	settings := checker.settings(&raw)
	if len(checker.problems) > 0 {
		return nil, checker.problems
	}
	return settings, nil
}

// decode decodes the YAML text into the document and returns the problems that the YAML library
// finds. The result readable is false if the text is not one YAML document or contains a field
// twice: the document's values must not be checked then.
func decode(data []byte, raw *document) (problems Problems, readable bool) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	err := decoder.Decode(raw)
	if err == nil {
		err = decoder.Decode(new(document))
		if err == nil {
			return Problems{{Text: "the file holds more than one YAML document"}}, false
		}
	}
	if errors.Is(err, io.EOF) {
		return nil, true
	}
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return Problems{syntaxProblem(err)}, false
	}
	readable = true
	for _, text := range typeError.Errors {
		if duplicatePattern.MatchString(text) {
			readable = false
		}
		problems = append(problems, yamlProblem(text))
	}
	return problems, readable
}

var (
	linePattern      = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)
	unknownPattern   = regexp.MustCompile(`^field (\S+) not found in type config\.\S+$`)
	duplicatePattern = regexp.MustCompile(`(?:^|: )mapping key "(.*)" already defined at line (\d+)$`)
	typePattern      = regexp.MustCompile("^cannot unmarshal !!(\\S+) `(.*)` into (\\S+)$")
)

// yamlProblem converts a message of the YAML library to a Problem with the wording of this package.
func yamlProblem(text string) Problem {
	problem := Problem{Text: text}
	if match := linePattern.FindStringSubmatch(text); match != nil {
		problem.Line, _ = strconv.Atoi(match[1])
		problem.Text = match[2]
	}
	if match := unknownPattern.FindStringSubmatch(problem.Text); match != nil {
		problem.Field = match[1]
		problem.Text = "is not a known field"
	}
	if match := duplicatePattern.FindStringSubmatch(problem.Text); match != nil {
		problem.Field = match[1]
		problem.Text = "is a duplicate of line " + match[2]
	}
	if match := typePattern.FindStringSubmatch(problem.Text); match != nil {
		problem.Value = match[2]
		problem.Text = "is not of type " + match[3]
	}
	return problem
}

func syntaxProblem(err error) Problem {
	problem := yamlProblem(err.Error())
	problem.Text = "YAML syntax: " + strings.TrimPrefix(problem.Text, "yaml: ")
	return problem
}

// FieldNames returns the paths of all settings, such as timings.idle_timeout, in the order of the
// fields of the document.
func FieldNames() []string {
	return fieldNames("", reflect.TypeFor[document]())
}

func fieldNames(prefix string, structure reflect.Type) []string {
	var names []string
	for field := range structure.Fields() {
		name := prefix + field.Tag.Get("yaml")
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			names = append(names, fieldNames(name+".", inner)...)
			continue
		}
		names = append(names, name)
	}
	return names
}
