package conf

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kind is the kind of a record in the configuration stream.
type Kind string

// The kinds of records.
const (
	KindChange     Kind = "change"
	KindHeartbeat  Kind = "heartbeat"
	KindCheckpoint Kind = "checkpoint"
)

// Record is one entry of the configuration stream.
type Record struct {
	Kind Kind `json:"kind"`
	// ID is unique to the append, so that its author can find the record in the log.
	ID         string      `json:"id"`
	Change     *Change     `json:"change,omitempty"`
	Heartbeat  *Heartbeat  `json:"heartbeat,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// Change sets or removes one document.
type Change struct {
	// Document is the name of the document: fleet or contract/ACCOUNT.
	Document string `json:"document"`
	// Base is the version that the change is based on; 0 for a new document.
	Base uint64 `json:"base"`
	// Author is the operator's name.
	Author string `json:"author"`
	// Text is the new content in YAML.
	Text string `json:"text,omitempty"`
	// Remove deletes the document.
	Remove bool `json:"remove,omitempty"`
}

// Heartbeat carries its sending time, from which readers compute their lag.
type Heartbeat struct {
	Host string    `json:"host"`
	Sent time.Time `json:"sent"`
}

// Checkpoint holds one part of the state after the record at an offset.
type Checkpoint struct {
	// At is the offset of the last record that the state includes.
	At uint64 `json:"at"`
	// Part is the number of this part, from 0 to Parts-1.
	Part      int        `json:"part"`
	Parts     int        `json:"parts"`
	Documents []Document `json:"documents"`
}

// Document is an accepted version of a document.
type Document struct {
	Name string `json:"name"`
	// Version is the offset of the record that set the document.
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Text    string    `json:"text"`
}

// Encode encodes the record as the data of a log record.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode configuration record: %w", err)
	}
	return data, nil
}

// Decode decodes the data of a log record.
func Decode(data []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("decode configuration record: %w", err)
	}
	return &r, nil
}
