package ledger

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kind is the kind of a record in the claims stream.
type Kind string

// The kinds of records: a claim of a key, the outcome of its call, and the release
// of a claim.
const (
	KindClaim   Kind = "claim"
	KindOutcome Kind = "outcome"
	KindRelease Kind = "release"
)

// ID identifies a call that must not run more than once.
type ID struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Key     string `json:"key"`
}

// String returns the ID as it appears in logs.
func (id ID) String() string { return id.Account + "/" + id.Service + "/" + id.Key }

// Record is one entry of the claims stream.
type Record struct {
	Kind Kind `json:"kind"`
	ID   ID   `json:"id"`
	// Attempt is unique to one attempt of one host to claim the key.
	Attempt string `json:"attempt"`
	// Digest is the SHA-256 of method, path and body, in hex; claims only.
	Digest string `json:"digest,omitempty"`
	// Created is when the caller created the key; claims and releases only.
	Created time.Time `json:"created,omitzero"`
	// Endpoint is the endpoint to which the call is sent if the claim wins; claims only.
	Endpoint string `json:"endpoint,omitempty"`
	// Outcome is the endpoint's response; outcomes only.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the recorded response of an endpoint.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// EncodeBatch encodes records as the data of one log record.
func EncodeBatch(records []Record) ([]byte, error) {
	data, err := json.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("encode claims: %w", err)
	}
	return data, nil
}

// DecodeBatch decodes the data of one log record.
func DecodeBatch(data []byte) ([]Record, error) {
	var records []Record
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, fmt.Errorf("decode claims: %w", err)
	}
	return records, nil
}
