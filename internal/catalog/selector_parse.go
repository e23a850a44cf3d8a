package catalog

import (
	"fmt"
	"slices"
	"strings"
)

// SelectorError says where and why a selector could not be read.
type SelectorError struct {
	Selector string
	Position int    // in bytes, from 1
	Found    string // the offending text; empty at the end of the selector
	Problem  string
}

// Error names the position, the offending text and the problem.
func (err *SelectorError) Error() string {
	found := "the end"
	if err.Found != "" {
		found = fmt.Sprintf("%q", err.Found)
	}
	return fmt.Sprintf("selector %q: at position %d, %s: %s", err.Selector, err.Position, found, err.Problem)
}

// ParseSelector reads a selector in the Kubernetes form: terms joined by
// commas, each key=value, key==value, key!=value, key in (a, b),
// key notin (a, b), key or !key. The error is a *SelectorError.
func ParseSelector(text string) (Selector, error) {
	parser := selectorParser{text: text}
	parser.advance()
	selector, err := parser.parse()
	if err != nil {
		return Selector{}, err
	}
	return selector, nil
}

// selectorToken is one word or symbol; its text is empty at the end.
type selectorToken struct {
	text     string
	position int // byte offset
	word     bool
}

type selectorParser struct {
	text   string
	offset int
	token  selectorToken
}

const (
	selectorSpace   = " \t\r\n"
	selectorSymbols = "=!(),"
)

// advance reads the next token.
func (parser *selectorParser) advance() {
	for parser.offset < len(parser.text) && strings.IndexByte(selectorSpace, parser.text[parser.offset]) >= 0 {
		parser.offset++
	}
	start := parser.offset
	rest := parser.text[start:]
	length := strings.IndexAny(rest, selectorSpace+selectorSymbols)
	if length < 0 {
		length = len(rest)
	}
	word := length > 0
	if !word && rest != "" {
		length = symbolLength(rest)
	}
	parser.offset += length
	parser.token = selectorToken{text: rest[:length], position: start, word: word}
}

func symbolLength(rest string) int {
	if strings.HasPrefix(rest, "==") || strings.HasPrefix(rest, "!=") {
		return 2
	}
	return 1
}

func (parser *selectorParser) fail(token selectorToken, problem string) error {
	return &SelectorError{Selector: parser.text, Position: token.position + 1, Found: token.text, Problem: problem}
}

func (parser *selectorParser) parse() (Selector, error) {
	var selector Selector
	if parser.token.text == "" {
		return selector, nil
	}
	for {
		requirement, err := parser.parseRequirement()
		if err != nil {
			return Selector{}, err
		}
		selector.Requirements = append(selector.Requirements, requirement)
		if parser.token.text == "" {
			return selector, nil
		}
		if parser.token.text != "," {
			return Selector{}, parser.fail(parser.token, "expected ',' or the end")
		}
		parser.advance()
	}
}

func (parser *selectorParser) parseRequirement() (Requirement, error) {
	if parser.token.text == "!" {
		parser.advance()
		key, err := parser.parseKey()
		return Requirement{Key: key, Operator: OperatorNotExists}, err
	}
	key, err := parser.parseKey()
	if err != nil {
		return Requirement{}, err
	}
	operator := parser.token
	switch operator.text {
	case "", ",":
		return Requirement{Key: key, Operator: OperatorExists}, nil
	case "=", "==":
		return parser.parseEquality(key, OperatorEquals)
	case "!=":
		return parser.parseEquality(key, OperatorNotEquals)
	case "in", "notin":
		parser.advance()
		values, err := parser.parseValues()
		return Requirement{Key: key, Operator: Operator(operator.text), Values: values}, err
	}
	return Requirement{}, parser.fail(operator, "expected one of =, ==, !=, in, notin, ',' or the end")
}

func (parser *selectorParser) parseKey() (string, error) {
	token := parser.token
	if !token.word {
		return "", parser.fail(token, "expected a label key")
	}
	if err := ValidateLabelKey(token.text); err != nil {
		return "", parser.fail(token, "label key "+err.Error())
	}
	parser.advance()
	return token.text, nil
}

func (parser *selectorParser) parseEquality(key string, operator Operator) (Requirement, error) {
	parser.advance()
	value, err := parser.parseValue()
	return Requirement{Key: key, Operator: operator, Values: []string{value}}, err
}

// parseValue reads one value, which is empty when a ',' , ')' or the end comes next.
func (parser *selectorParser) parseValue() (string, error) {
	token := parser.token
	if !token.word {
		if token.text == "" || token.text == "," || token.text == ")" {
			return "", nil
		}
		return "", parser.fail(token, "expected a label value")
	}
	if err := ValidateLabelValue(token.text); err != nil {
		return "", parser.fail(token, "label value "+err.Error())
	}
	parser.advance()
	return token.text, nil
}

func (parser *selectorParser) parseValues() ([]string, error) {
	if parser.token.text != "(" {
		return nil, parser.fail(parser.token, "expected '('")
	}
	parser.advance()
	if parser.token.text == ")" {
		return nil, parser.fail(parser.token, "expected at least one value")
	}
	var values []string
	for {
		value, err := parser.parseValue()
		if err != nil {
			return nil, err
		}
		values = append(values, value)
		separator := parser.token
		if separator.text != "," && separator.text != ")" {
			return nil, parser.fail(separator, "expected ',' or ')'")
		}
		parser.advance()
		if separator.text == ")" {
			slices.Sort(values)
			return slices.Compact(values), nil
		}
	}
}
