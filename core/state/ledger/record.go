package ledger

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kind says what a record of the claims stream does.
type Kind string

// The kinds of records.
const (
	KindClaim   Kind = "claim"
	KindOutcome Kind = "outcome"
	KindRelease Kind = "release"
)

// ID identifies a call that may not be repeated.
type ID struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Key     string `json:"key"`
}

// String returns the identity for logs.
func (id ID) String() string { return id.Account + "/" + id.Service + "/" + id.Key }

// Record is one entry of the claims stream.
type Record struct {
	Kind Kind `json:"kind"`
	ID   ID   `json:"id"`
	// Attempt is unique to one try of one host to win the key.
	Attempt string `json:"attempt"`
	// Digest is the SHA-256 of method, path and body, in hex; claims only.
	Digest string `json:"digest,omitempty"`
	// Created is when the caller made the key; claims only.
	Created time.Time `json:"created,omitzero"`
	// Endpoint is where the winner will send; claims only.
	Endpoint string `json:"endpoint,omitempty"`
	// Outcome is what the endpoint answered; outcomes only.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the recorded answer of an endpoint.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// EncodeBatch packs records into the data of one log record.
func EncodeBatch(records []Record) ([]byte, error) {
	data, err := json.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("encode claims: %w", err)
	}
	return data, nil
}

// DecodeBatch unpacks the data of one log record.
func DecodeBatch(data []byte) ([]Record, error) {
	var records []Record
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, fmt.Errorf("decode claims: %w", err)
	}
	return records, nil
}
