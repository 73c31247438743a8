package fleet

import (
	"errors"
	"fmt"
	"strings"
)

// FieldError is the validation error of one field of a document.
type FieldError struct {
	// Field is the path of the field, such as limits.concurrency.
	Field string `json:"field"`
	// Reason says which rule the value of the field violates.
	Reason string `json:"reason"`
}

// ErrInvalid reports a document that failed validation.
type ErrInvalid struct {
	// Document is the name of the document, such as contract/bastones.
	Document string
	// Fields lists all validation errors that were found.
	Fields []FieldError
}

// Error lists all validation errors.
func (e *ErrInvalid) Error() string {
	parts := make([]string, 0, len(e.Fields))
	for _, f := range e.Fields {
		parts = append(parts, fmt.Sprintf("%s: %s", f.Field, f.Reason))
	}
	return fmt.Sprintf("%s is invalid: %s", e.Document, strings.Join(parts, "; "))
}

// IsErrInvalid reports whether err holds an ErrInvalid.
func IsErrInvalid(err error) bool {
	var target *ErrInvalid
	return errors.As(err, &target)
}

// fieldErrors collects the validation errors of a document.
type fieldErrors struct {
	fields []FieldError
}

func (f *fieldErrors) add(field, format string, args ...any) {
	f.fields = append(f.fields, FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (f *fieldErrors) require(ok bool, field, format string, args ...any) {
	if !ok {
		f.add(field, format, args...)
	}
}

func (f *fieldErrors) err(document string) error {
	if len(f.fields) == 0 {
		return nil
	}
	return &ErrInvalid{Document: document, Fields: f.fields}
}
