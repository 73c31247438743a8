package conf

import (
	"errors"
	"fmt"

	"cicadastand.dev/core/state/fleet"
)

// ErrStale reports a change that is based on a version other than the current one.
type ErrStale struct {
	Document string
	// Base is the version that the change is based on.
	Base uint64
	// Current is the current version of the document.
	Current uint64
}

// Error states both versions.
func (e *ErrStale) Error() string {
	return fmt.Sprintf("%s is at version %d, the change was made from version %d", e.Document, e.Current, e.Base)
}

// IsErrStale reports whether err holds an ErrStale.
func IsErrStale(err error) bool {
	var target *ErrStale
	return errors.As(err, &target)
}

func (v *Verdict) reject(err error) {
	v.Reason = err.Error()
	v.Outcome = Invalid
	if IsErrStale(err) {
		v.Outcome = Stale
	}
	var invalid *fleet.ErrInvalid
	if errors.As(err, &invalid) {
		v.Fields = invalid.Fields
	}
}

func invalidField(document, field, format string, args ...any) error {
	return &fleet.ErrInvalid{
		Document: document,
		Fields:   []fleet.FieldError{{Field: field, Reason: fmt.Sprintf(format, args...)}},
	}
}

func (s *State) checkRemoval(document string) error {
	if document == FleetDocument {
		return invalidField(document, "remove", "the fleet description can't be removed")
	}
	if _, ok := s.docs[document]; !ok {
		return invalidField(document, "document", "does not exist")
	}
	return nil
}

func (s *State) checkContract(c *fleet.Contract) error {
	name := ContractDocument(c.Account)
	for i, m := range c.Models {
		if _, ok := s.fleet.Model(m); !ok {
			return invalidField(name, fmt.Sprintf("models[%d]", i), "the fleet has no model %q", m)
		}
	}
	for i, svc := range c.Services {
		if _, ok := s.fleet.Service(svc); !ok {
			return invalidField(name, fmt.Sprintf("services[%d]", i), "the fleet has no service %q", svc)
		}
	}
	for i, h := range c.KeyHashes {
		if owner, ok := s.accountByHash[h]; ok && owner != c.Account {
			return invalidField(name, fmt.Sprintf("key-hashes[%d]", i), "is used by another account")
		}
	}
	return nil
}

func (s *State) checkFleet(f *fleet.Fleet) error {
	for _, c := range s.contracts {
		for _, m := range c.Models {
			if _, ok := f.Model(m); !ok {
				return invalidField(FleetDocument, "models", "a contract still names model %q", m)
			}
		}
		for _, svc := range c.Services {
			if _, ok := f.Service(svc); !ok {
				return invalidField(FleetDocument, "services", "a contract still names service %q", svc)
			}
		}
	}
	return nil
}
