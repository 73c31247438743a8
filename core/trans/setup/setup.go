// Package setup reads the YAML settings of a process.
package setup

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
)

// ErrSettings reports a settings file that can't be used.
type ErrSettings struct {
	Path string
	Err  error
}

// Error names the file and the fault.
func (e *ErrSettings) Error() string { return fmt.Sprintf("settings %s: %v", e.Path, e.Err) }

// Unwrap returns the fault.
func (e *ErrSettings) Unwrap() error { return e.Err }

// IsErrSettings reports whether err holds an ErrSettings.
func IsErrSettings(err error) bool {
	var target *ErrSettings
	return errors.As(err, &target)
}

// Validator is a settings type that checks itself.
type Validator interface {
	// Validate returns an error that names the field at fault.
	Validate() error
}

// Load reads the file at path into settings, which hold the defaults, refuses
// unknown keys, and validates the result.
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
