package catalog

import (
	"slices"
	"strings"
)

// Operator is the operator of one requirement of a selector.
type Operator string

// The operators, with their Kubernetes names. NotEquals and NotIn also match
// when the label is absent, as in Kubernetes.
const (
	OperatorEquals    Operator = "="
	OperatorNotEquals Operator = "!="
	OperatorIn        Operator = "in"
	OperatorNotIn     Operator = "notin"
	OperatorExists    Operator = "exists"
	OperatorNotExists Operator = "!"
)

// Requirement is one term of a selector.
type Requirement struct {
	Key      string
	Operator Operator
	Values   []string // sorted, without duplicates; one for Equals and NotEquals, none for Exists and NotExists
}

// Matches tells whether the labels meet the requirement.
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

// String prints the requirement so that ParseSelector reads it back.
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
		values = "," // one empty value; "()" would be none
	}
	return requirement.Key + " " + string(requirement.Operator) + " (" + values + ")"
}

// Selector is a conjunction of requirements. One without requirements matches
// everything; services may not have one (Service.Validate).
type Selector struct {
	Requirements []Requirement
}

// Matches tells whether the labels meet every requirement.
func (selector Selector) Matches(labels map[string]string) bool {
	for index := range selector.Requirements {
		if !selector.Requirements[index].Matches(labels) {
			return false
		}
	}
	return true
}

// String prints the selector so that ParseSelector reads it back.
func (selector Selector) String() string {
	terms := make([]string, len(selector.Requirements))
	for index := range selector.Requirements {
		terms[index] = selector.Requirements[index].String()
	}
	return strings.Join(terms, ",")
}
