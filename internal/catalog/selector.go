package catalog

import (
	"slices"
	"strings"
)

// Operator is the operator of one requirement of a selector.
type Operator string

// Operators with their Kubernetes names. As in Kubernetes, OperatorNotEquals and OperatorNotIn
// also match if the label is absent.
const (
	OperatorEquals    Operator = "="
	OperatorNotEquals Operator = "!="
	OperatorIn        Operator = "in"
	OperatorNotIn     Operator = "notin"
	OperatorExists    Operator = "exists"
	OperatorNotExists Operator = "!"
)

// Requirement is one term of a selector: a condition on one label.
type Requirement struct {
	Key      string
	Operator Operator
	// Values are sorted and distinct. OperatorEquals and OperatorNotEquals have exactly one value,
	// OperatorExists and OperatorNotExists none.
	Values []string
}

// Matches reports whether the labels meet the requirement.
func (requirement *Requirement) Matches(labels map[string]string) bool {
	value, present := labels[requirement.Key]
	switch requirement.Operator {
	case OperatorEquals, OperatorIn:
		return present && slices.Contains(requirement.Values, value)
	case OperatorNotEquals, OperatorNotIn:
		return !present || !slices.Contains(requirement.Values, value)
	case OperatorExists:
		return present
	case OperatorNotExists:
		return !present
	}
	return false
}

// String returns the requirement in the syntax of ParseSelector.
func (requirement *Requirement) String() string {
	switch requirement.Operator {
	case OperatorExists:
		return requirement.Key
	case OperatorNotExists:
		return "!" + requirement.Key
	case OperatorEquals, OperatorNotEquals:
		return requirement.Key + string(requirement.Operator) + requirement.Values[0]
	}
	values := strings.Join(requirement.Values, ",")
	if values == "" {
		values = "," // the only value is empty, and "()" is not valid
	}
	return requirement.Key + " " + string(requirement.Operator) + " (" + values + ")"
}

// Selector is a conjunction of requirements. A selector without requirements matches all labels.
// Service.Validate rejects such a selector.
type Selector struct {
	Requirements []Requirement
}

// Matches reports whether the labels meet all requirements.
func (selector Selector) Matches(labels map[string]string) bool {
	for index := range selector.Requirements {
		if !selector.Requirements[index].Matches(labels) {
			return false
		}
	}
	return true
}

// String returns the selector in the syntax of ParseSelector.
func (selector Selector) String() string {
	terms := make([]string, len(selector.Requirements))
	for index := range selector.Requirements {
		terms[index] = selector.Requirements[index].String()
	}
	return strings.Join(terms, ",")
}
