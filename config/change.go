package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Change is a list of edits that are accepted or rejected together.
type Change struct {
	// ID makes an operator's change idempotent: a change whose ID is among the
	// outcomes that the state keeps gets the first outcome again.
	ID string `json:"id"`
	// Base is the version that the change was made against. The change is
	// rejected if another version is current.
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	// Internal is true for changes by the control replicas themselves. Their
	// base is not checked, and they do not advance the version.
	Internal bool   `json:"internal,omitempty"`
	Edits    []Edit `json:"edits"`
}

// Edit is one edit of the configuration. Exactly one field is set.
type Edit struct {
	PutAccount    *Account `json:"putAccount,omitempty"`
	PutService    *Service `json:"putService,omitempty"`
	PutRoute      *Route   `json:"putRoute,omitempty"`
	PutZone       *Zone    `json:"putZone,omitempty"`
	IssueKey      *Key     `json:"issueKey,omitempty"`
	WithdrawKey   string   `json:"withdrawKey,omitempty"`
	DeleteAccount string   `json:"deleteAccount,omitempty"`
	DeleteService string   `json:"deleteService,omitempty"`
	DeleteRoute   string   `json:"deleteRoute,omitempty"`

	// PutHost, RemoveHost and FinishRosterChange edit the roster of hosts and
	// occur in internal changes only.
	PutHost            *Host  `json:"putHost,omitempty"`
	RemoveHost         string `json:"removeHost,omitempty"`
	FinishRosterChange bool   `json:"settleRoster,omitempty"`
}

// internal reports whether the edit is allowed in internal changes only.
func (e Edit) internal() bool {
	return e.PutHost != nil || e.RemoveHost != "" || e.FinishRosterChange
}

const (
	maxIDLength = 100
	maxEdits    = 10_000
)

// Validate checks the change without the state that it would be applied to. The
// error is a Problems.
func (c Change) Validate() error {
	var p Problems
	if len(c.ID) == 0 || len(c.ID) > maxIDLength {
		p.add("id", c.ID, fmt.Sprintf("1 to %d characters", maxIDLength))
	}
	p.inRange("edits", len(c.Edits), 1, maxEdits)
	for i, e := range c.Edits {
		e.validate(fmt.Sprintf("edits[%d]", i), &p)
		if e.internal() && !c.Internal {
			p.add(fmt.Sprintf("edits[%d]", i), "roster edit", "an edit that operators may make")
		}
	}
	if len(p) > 0 {
		return p
	}
	return nil
}

// validate appends the edit's problems to p; path names the edit in the change.
func (e Edit) validate(path string, p *Problems) {
	n := 0
	countIf := func(isSet bool) {
		if isSet {
			n++
		}
	}
	if countIf(e.PutAccount != nil); e.PutAccount != nil {
		e.PutAccount.validate(path+".putAccount", p)
	}
	if countIf(e.PutService != nil); e.PutService != nil {
		e.PutService.validate(path+".putService", p)
	}
	if countIf(e.PutRoute != nil); e.PutRoute != nil {
		e.PutRoute.validate(path+".putRoute", p)
	}
	if countIf(e.PutZone != nil); e.PutZone != nil {
		p.name(path+".putZone.name", e.PutZone.Name)
	}
	if countIf(e.IssueKey != nil); e.IssueKey != nil {
		p.name(path+".issueKey.id", e.IssueKey.ID)
		p.name(path+".issueKey.account", e.IssueKey.Account)
	}
	if countIf(e.PutHost != nil); e.PutHost != nil {
		e.PutHost.validate(path+".putHost", p)
	}
	for _, s := range []string{e.WithdrawKey, e.DeleteAccount, e.DeleteService, e.DeleteRoute, e.RemoveHost} {
		countIf(s != "")
	}
	countIf(e.FinishRosterChange)
	if n != 1 {
		p.add(path, fmt.Sprintf("%d edits", n), "exactly one edit")
	}
}

// Encode returns the change as JSON. The digest of the configuration covers
// these bytes.
func (c Change) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "config.Encode")
}

// DecodeChange decodes a change from JSON. Unknown fields and data after the
// JSON value are errors.
func DecodeChange(b []byte) (Change, error) {
	var c Change
	if err := decodeStrict(b, &c); err != nil {
		return Change{}, errors.Wrap(err, "config.DecodeChange")
	}
	return c, nil
}

// chainDigest returns the hexadecimal SHA-256 digest of the previous digest
// followed by data.
func chainDigest(digest string, data []byte) string {
	h := sha256.New()
	h.Write([]byte(digest))
	h.Write(data)
	return hex.EncodeToString(h.Sum(nil))
}
