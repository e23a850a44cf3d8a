package catalog

import (
	"fmt"
	"slices"
	"strings"
)

// SelectorError is a syntax error in a selector.
type SelectorError struct {
	Selector string
	Position int    // byte position, starting at 1
	Token    string // the invalid token; empty at the end of the selector
	Problem  string
}

// Error returns the selector, the position, the invalid token and the problem.
func (err *SelectorError) Error() string {
	token := "the end"
	if err.Token != "" {
		token = fmt.Sprintf("%q", err.Token)
	}
	return fmt.Sprintf("selector %q: at position %d, %s: %s", err.Selector, err.Position, token, err.Problem)
}

// ParseSelector parses a selector in Kubernetes syntax: terms separated by commas, each in one of
// the forms key=value, key==value, key!=value, key in (a, b), key notin (a, b), key and !key.
// Errors are of type *SelectorError.
func ParseSelector(text string) (Selector, error) {
	parser := selectorParser{text: text}
	parser.advance()
	selector, err := parser.parse()
	if err != nil {
		return Selector{}, err
	}
	return selector, nil
}

// selectorToken is a word or symbol in a selector. Its text is empty at the end of the selector.
type selectorToken struct {
	text     string
	position int // byte offset, starting at 0
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

// advance reads the next token into parser.token.
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

// symbolLength returns the length of the symbol at the beginning of rest.
func symbolLength(rest string) int {
	if strings.HasPrefix(rest, "==") || strings.HasPrefix(rest, "!=") {
		return 2
	}
	return 1
}

// fail returns a *SelectorError for the token.
func (parser *selectorParser) fail(token selectorToken, problem string) error {
	return &SelectorError{Selector: parser.text, Position: token.position + 1, Token: token.text, Problem: problem}
}

// parse parses the whole selector. The first token must have been read.
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

// parseRequirement parses one term.
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

// parseKey parses and validates a label key.
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

// parseEquality parses the value after an equality operator, which is the current token.
func (parser *selectorParser) parseEquality(key string, operator Operator) (Requirement, error) {
	parser.advance()
	value, err := parser.parseValue()
	return Requirement{Key: key, Operator: operator, Values: []string{value}}, err
}

// parseValue parses and validates one value. The value is empty if the current token is ',' or ')'
// or the end of the selector.
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

// parseValues parses a list of values in parentheses.
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
