package fleet

import (
	"errors"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// ValidName reports whether s is a valid name of an account, model, service,
// endpoint or host.
func ValidName(s string) bool { return len(s) <= maxNameLen && namePattern.MatchString(s) }

func checkName(f *fieldErrors, field, v string) {
	f.require(ValidName(v), field, "must be 1 to %d of a-z, 0-9, dot, dash and underscore, not %q", maxNameLen, v)
}

func contains(list []string, v string) bool { return slices.Contains(list, v) }

// decodeStrict decodes a YAML document. An unknown field is an error that names the
// field.
func decodeStrict(document, text string, into any) error {
	dec := yaml.NewDecoder(strings.NewReader(text), yaml.Strict())
	err := dec.Decode(into)
	if errors.Is(err, io.EOF) {
		return &ErrInvalid{Document: document, Fields: []FieldError{{Field: "document", Reason: "must not be empty"}}}
	}
	if err == nil {
		return nil
	}
	return &ErrInvalid{Document: document, Fields: []FieldError{decodeError(err)}}
}

func decodeError(err error) FieldError {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		return FieldError{Field: "document", Reason: err.Error()}
	}
	field := "document"
	if tok := syntax.GetToken(); tok != nil && tok.Value != "" {
		field = tok.Value
	}
	return FieldError{Field: field, Reason: strings.TrimSpace(yaml.FormatError(err, false, false))}
}
