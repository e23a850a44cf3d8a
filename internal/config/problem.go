package config

import (
	"fmt"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Problem is one error in the settings.
type Problem struct {
	Field string // path, such as timings.idle_timeout or seeds[1]; empty: no single field
	Value string // the value as written in the file or flag
	Line  int    // line in the file; 0: not in the file (missing, or from a flag)
	Text  string // description of the error
}

// String returns the problem as one line of text.
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

// Problems is the error that lists all problems of the settings.
type Problems []Problem

// Error returns one line per problem.
func (problems Problems) Error() string {
	lines := make([]string, len(problems))
	for index, problem := range problems {
		lines[index] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// sourcePosition is the line of a field in the file, with the field's value.
type sourcePosition struct {
	line  int
	value string
}

// sourcePositions returns the position of each field in the file, by the field's path.
func sourcePositions(data []byte) map[string]sourcePosition {
	var root yaml.Node
	found := map[string]sourcePosition{}
	if yaml.Unmarshal(data, &root) != nil || len(root.Content) == 0 {
		return found
	}
	addSourcePositions(found, "", root.Content[0])
	return found
}

func addSourcePositions(found map[string]sourcePosition, path string, node *yaml.Node) {
	if path != "" {
		found[path] = sourcePosition{line: node.Line, value: node.Value}
	}
	switch node.Kind {
	case yaml.MappingNode:
		for index := 0; index+1 < len(node.Content); index += 2 {
			name := node.Content[index].Value
			if path != "" {
				name = path + "." + name
			}
			addSourcePositions(found, name, node.Content[index+1])
		}
	case yaml.SequenceNode:
		for index, item := range node.Content {
			addSourcePositions(found, path+"["+strconv.Itoa(index)+"]", item)
		}
	}
}
