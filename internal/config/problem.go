package config

import (
	"fmt"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Problem is one thing wrong with the settings.
type Problem struct {
	Field string // path, as in timings.idle_timeout or seeds[1]; empty: see Text
	Value string // as written
	Line  int    // line in the file; 0: not in the file (missing, or from a flag)
	Text  string // what is wrong
}

// String gives one line for an operator.
func (problem Problem) String() string {
	var text strings.Builder
	if problem.Line > 0 {
		fmt.Fprintf(&text, "line %d: ", problem.Line)
	}
	if problem.Field != "" {
		fmt.Fprintf(&text, "%s: ", problem.Field)
	}
	if problem.Value != "" {
		fmt.Fprintf(&text, "%q ", problem.Value)
	}
	text.WriteString(problem.Text)
	return text.String()
}

// Problems is the error that lists everything wrong with the settings.
type Problems []Problem

// Error gives one line per problem.
func (problems Problems) Error() string {
	lines := make([]string, len(problems))
	for index, problem := range problems {
		lines[index] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// place is where a field stands in the file.
type place struct {
	line  int
	value string
}

// places maps the path of each field in the file to its place.
func places(data []byte) map[string]place {
	var root yaml.Node
	found := map[string]place{}
	if yaml.Unmarshal(data, &root) != nil || len(root.Content) == 0 {
		return found
	}
	addPlaces(found, "", root.Content[0])
	return found
}

func addPlaces(found map[string]place, path string, node *yaml.Node) {
	if path != "" {
		found[path] = place{line: node.Line, value: node.Value}
	}
	switch node.Kind {
	case yaml.MappingNode:
		for index := 0; index+1 < len(node.Content); index += 2 {
			name := node.Content[index].Value
			if path != "" {
				name = path + "." + name
			}
			addPlaces(found, name, node.Content[index+1])
		}
	case yaml.SequenceNode:
		for index, item := range node.Content {
			addPlaces(found, path+"["+strconv.Itoa(index)+"]", item)
		}
	}
}
