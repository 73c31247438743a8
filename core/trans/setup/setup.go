// Package setup loads the YAML settings file of a process.
package setup

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
)

// ErrSettings reports a settings file that cannot be read or is invalid.
type ErrSettings struct {
	Path string
	Err  error
}

// Error returns the path of the file and the cause.
func (e *ErrSettings) Error() string { return fmt.Sprintf("settings %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ErrSettings) Unwrap() error { return e.Err }

// IsErrSettings reports whether err holds an ErrSettings.
func IsErrSettings(err error) bool {
	var target *ErrSettings
	return errors.As(err, &target)
}

// Validator is implemented by settings types.
type Validator interface {
	// Validate returns an error that names the invalid field.
	Validate() error
}

// Load decodes the file at path into settings, which must hold the defaults, and validates
// the result. Unknown keys are an error.
func Load(path string, settings Validator) error {
	file, err := os.Open(path)
	if err != nil {
		return &ErrSettings{Path: path, Err: err}
	}
	defer func() { _ = file.Close() }()
	err = yaml.NewDecoder(file, yaml.Strict()).Decode(settings)
	if err != nil && !errors.Is(err, io.EOF) {
		return &ErrSettings{Path: path, Err: errors.New(yaml.FormatError(err, false, true))}
	}
	if err := settings.Validate(); err != nil {
		return &ErrSettings{Path: path, Err: err}
	}
	return nil
}
