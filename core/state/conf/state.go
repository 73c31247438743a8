// Package conf derives the current contracts and fleet description from the
// configuration stream.
//
// The state is a pure function of the stream: all hosts reject the same changes,
// those with a stale base version or invalid content, for the same reasons.
package conf

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/stream"
)

// FleetDocument is the name of the document that describes the fleet.
const FleetDocument = "fleet"

const contractPrefix = "contract/"

// historyLen is the maximum number of verdicts in the history.
const historyLen = 512

// ContractDocument returns the name of the document that holds an account's contract.
func ContractDocument(account string) string { return contractPrefix + account }

// Outcome says whether a change was accepted, and if not, why.
type Outcome string

// The outcomes of a change: accepted, rejected because its base version is not the
// current one, and rejected because validation failed.
const (
	Accepted Outcome = "accepted"
	Stale    Outcome = "stale"
	Invalid  Outcome = "invalid"
)

// Verdict is the result of one change.
type Verdict struct {
	Offset   uint64             `json:"offset"`
	ID       string             `json:"id"`
	Document string             `json:"document"`
	Author   string             `json:"author"`
	Time     time.Time          `json:"time"`
	Outcome  Outcome            `json:"outcome"`
	Reason   string             `json:"reason,omitempty"`
	Fields   []fleet.FieldError `json:"fields,omitempty"`
	// Version is the version of the document after the change.
	Version uint64 `json:"version"`
}

// State is the configuration after the records applied so far. It is not safe for
// concurrent use.
type State struct {
	offset        uint64
	docs          map[string]Document
	fleet         *fleet.Fleet
	contracts     map[string]*fleet.Contract
	accountByHash map[string]string
	// shared is set if a view refers to the maps, so they must be copied before they
	// are changed.
	shared        bool
	history       []Verdict
	lastHeartbeat time.Time
}

// New returns the state before the first record.
func New() *State {
	empty := fleet.DefaultFleet()
	return &State{
		docs:          make(map[string]Document),
		fleet:         &empty,
		contracts:     make(map[string]*fleet.Contract),
		accountByHash: make(map[string]string),
	}
}

// Offset returns the offset of the last applied record.
func (s *State) Offset() uint64 { return s.offset }

// Heartbeat returns the sending time of the newest applied heartbeat.
func (s *State) Heartbeat() time.Time { return s.lastHeartbeat }

// History returns the latest verdicts, oldest first.
func (s *State) History() []Verdict { return slices.Clone(s.history) }

// Document returns an accepted document.
func (s *State) Document(name string) (Document, bool) {
	d, ok := s.docs[name]
	return d, ok
}

// Documents returns the accepted documents, sorted by name.
func (s *State) Documents() []Document {
	out := make([]Document, 0, len(s.docs))
	for _, d := range s.docs {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Apply applies one record. A record at or below the current offset is ignored,
// so the state never reverts. The verdict is nil for records that are not changes.
func (s *State) Apply(r stream.Record) *Verdict {
	if r.Offset <= s.offset {
		return nil
	}
	s.offset = r.Offset
	rec, err := Decode(r.Data)
	if err != nil {
		return nil
	}
	if rec.Kind == KindHeartbeat && rec.Heartbeat != nil && rec.Heartbeat.Sent.After(s.lastHeartbeat) {
		s.lastHeartbeat = rec.Heartbeat.Sent
	}
	if rec.Kind != KindChange || rec.Change == nil {
		return nil
	}
	v := s.applyChange(r, rec)
	s.appendHistory(v)
	return &v
}

// Check returns the verdict that a change would get as the next record in the log.
func (s *State) Check(c Change) Verdict {
	v := Verdict{Document: c.Document, Author: c.Author, Version: s.docs[c.Document].Version}
	if _, err := s.validate(c); err != nil {
		v.reject(err)
		return v
	}
	v.Outcome = Accepted
	return v
}

func (s *State) applyChange(r stream.Record, rec *Record) Verdict {
	c := *rec.Change
	v := Verdict{Offset: r.Offset, ID: rec.ID, Document: c.Document, Author: c.Author, Time: r.Time}
	p, err := s.validate(c)
	if err != nil {
		v.reject(err)
		v.Version = s.docs[c.Document].Version
		return v
	}
	doc := Document{Name: c.Document, Version: r.Offset, Author: c.Author, Time: r.Time, Text: c.Text}
	s.setDocument(doc, p, c.Remove)
	v.Outcome = Accepted
	v.Version = r.Offset
	if c.Remove {
		v.Version = 0
	}
	return v
}

func (s *State) appendHistory(v Verdict) {
	s.history = append(s.history, v)
	if len(s.history) > historyLen {
		s.history = slices.Delete(s.history, 0, len(s.history)-historyLen)
	}
}

// parsed is a parsed document; exactly one field is set.
type parsed struct {
	fleet    *fleet.Fleet
	contract *fleet.Contract
}

func (s *State) validate(c Change) (parsed, error) {
	if current := s.docs[c.Document].Version; c.Base != current {
		return parsed{}, &ErrStale{Document: c.Document, Base: c.Base, Current: current}
	}
	if c.Remove {
		return parsed{}, s.checkRemoval(c.Document)
	}
	p, err := parse(c.Document, c.Text)
	if err != nil {
		return parsed{}, err
	}
	if p.fleet != nil {
		return p, s.checkFleet(p.fleet)
	}
	return p, s.checkContract(p.contract)
}

func parse(name, text string) (parsed, error) {
	if name == FleetDocument {
		f, err := fleet.ParseFleet(text)
		return parsed{fleet: f}, err
	}
	account, ok := strings.CutPrefix(name, contractPrefix)
	if !ok {
		return parsed{}, invalidField(name, "document", "must be fleet or contract/ACCOUNT")
	}
	c, err := fleet.ParseContract(text)
	if err != nil {
		return parsed{}, err
	}
	if c.Account != account {
		return parsed{}, invalidField(name, "account", "must be %q, as the document's name says", account)
	}
	return parsed{contract: c}, nil
}

func (s *State) setDocument(doc Document, p parsed, remove bool) {
	if s.shared {
		s.contracts = maps.Clone(s.contracts)
		s.accountByHash = maps.Clone(s.accountByHash)
		s.shared = false
	}
	account := strings.TrimPrefix(doc.Name, contractPrefix)
	if old, ok := s.contracts[account]; ok && doc.Name != FleetDocument {
		for _, h := range old.KeyHashes {
			delete(s.accountByHash, h)
		}
	}
	if remove {
		delete(s.docs, doc.Name)
		delete(s.contracts, account)
		return
	}
	s.docs[doc.Name] = doc
	if p.fleet != nil {
		s.fleet = p.fleet
		return
	}
	s.contracts[account] = p.contract
	for _, h := range p.contract.KeyHashes {
		s.accountByHash[h] = account
	}
}
