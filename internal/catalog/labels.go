package catalog

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Limits of names and labels (Kubernetes, "Labels and Selectors", syntax and character set).
const (
	// MaxNameLength is the maximum length of the name of a service, back end or zone, in bytes.
	MaxNameLength = 63
	// MaxLabelNameLength is the maximum length of the name part of a label key, in bytes.
	MaxLabelNameLength = 63
	// MaxLabelPrefixLength is the maximum length of the prefix of a label key (a DNS subdomain), in
	// bytes.
	MaxLabelPrefixLength = 253
	// MaxLabelValueLength is the maximum length of a label value, in bytes.
	MaxLabelValueLength = 63
)

// ValidateName checks the name of a service, back end or zone. It must consist of lower-case
// letters, digits, '-' and '.', and begin and end with a letter or digit.
func ValidateName(name string) error {
	if name == "" {
		return errors.New("must not be empty")
	}
	if len(name) > MaxNameLength {
		return errors.Newf("is longer than %d bytes", MaxNameLength)
	}
	for index := range len(name) {
		if !isLowerAlphanumeric(name[index]) && name[index] != '-' && name[index] != '.' {
			return errors.Newf("has %q at position %d; only a-z, 0-9, '-' and '.' are allowed", name[index], index+1)
		}
	}
	if !isLowerAlphanumeric(name[0]) || !isLowerAlphanumeric(name[len(name)-1]) {
		return errors.New("must begin and end with a letter or digit")
	}
	return nil
}

// ValidateLabelKey checks a label key, which is a name with an optional prefix. The prefix is a DNS
// subdomain followed by '/'.
func ValidateLabelKey(key string) error {
	prefix, name, found := strings.Cut(key, "/")
	if !found {
		return validateQualifiedName(key, MaxLabelNameLength)
	}
	if err := validateSubdomain(prefix); err != nil {
		return errors.Wrapf(err, "prefix %q", prefix)
	}
	return errors.Wrapf(validateQualifiedName(name, MaxLabelNameLength), "name %q", name)
}

// ValidateLabelValue checks a label value. The empty value is valid.
func ValidateLabelValue(value string) error {
	if value == "" {
		return nil
	}
	return validateQualifiedName(value, MaxLabelValueLength)
}

// validateQualifiedName checks the name part of a label key, or a label value that is not empty.
func validateQualifiedName(name string, limit int) error {
	if name == "" {
		return errors.New("must not be empty")
	}
	if len(name) > limit {
		return errors.Newf("is longer than %d bytes", limit)
	}
	for index := range len(name) {
		if !isAlphanumeric(name[index]) && !strings.ContainsRune("-_.", rune(name[index])) {
			return errors.Newf("has %q at position %d; only letters, digits, '-', '_' and '.' are allowed", name[index], index+1)
		}
	}
	if !isAlphanumeric(name[0]) || !isAlphanumeric(name[len(name)-1]) {
		return errors.New("must begin and end with a letter or digit")
	}
	return nil
}

// validateSubdomain checks the prefix of a label key.
func validateSubdomain(subdomain string) error {
	if len(subdomain) > MaxLabelPrefixLength {
		return errors.Newf("is longer than %d bytes", MaxLabelPrefixLength)
	}
	for _, part := range strings.Split(subdomain, ".") {
		if err := ValidateName(part); err != nil {
			return err
		}
	}
	return nil
}

func isLowerAlphanumeric(char byte) bool {
	return char >= 'a' && char <= 'z' || char >= '0' && char <= '9'
}

func isAlphanumeric(char byte) bool {
	return isLowerAlphanumeric(char) || char >= 'A' && char <= 'Z'
}
