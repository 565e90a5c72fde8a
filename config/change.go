package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Change is a set of edits that takes effect as a whole.
type Change struct {
	// ID makes the change idempotent: an ID that was decided before gets the
	// first outcome again.
	ID string `json:"id"`
	// Base is the version that the change was made against.
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	// Internal changes come from the fleet itself and have no base.
	Internal bool   `json:"internal,omitempty"`
	Edits    []Edit `json:"edits"`
}

// Edit is one edit; exactly one field is set.
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

	// PutHost, RemoveHost and FinishRosterChange are internal.
	PutHost            *Host  `json:"putHost,omitempty"`
	RemoveHost         string `json:"removeHost,omitempty"`
	FinishRosterChange bool   `json:"settleRoster,omitempty"`
}

func (e Edit) internal() bool {
	return e.PutHost != nil || e.RemoveHost != "" || e.FinishRosterChange
}

const (
	maxIDLength = 100
	maxEdits    = 10_000
)

// Validate checks the change by itself, without the state it applies to.
func (c Change) Validate() error {
	var p Problems
	if len(c.ID) == 0 || len(c.ID) > maxIDLength {
		p.add("id", c.ID, fmt.Sprintf("1 to %d characters", maxIDLength))
	}
	p.within("edits", len(c.Edits), 1, maxEdits)
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

func (e Edit) validate(path string, p *Problems) {
	n := 0
	set := func(b bool) {
		if b {
			n++
		}
	}
	if set(e.PutAccount != nil); e.PutAccount != nil {
		e.PutAccount.validate(path+".putAccount", p)
	}
	if set(e.PutService != nil); e.PutService != nil {
		e.PutService.validate(path+".putService", p)
	}
	if set(e.PutRoute != nil); e.PutRoute != nil {
		e.PutRoute.validate(path+".putRoute", p)
	}
	if set(e.PutZone != nil); e.PutZone != nil {
		p.name(path+".putZone.name", e.PutZone.Name)
	}
	if set(e.IssueKey != nil); e.IssueKey != nil {
		p.name(path+".issueKey.id", e.IssueKey.ID)
		p.name(path+".issueKey.account", e.IssueKey.Account)
	}
	if set(e.PutHost != nil); e.PutHost != nil {
		e.PutHost.validate(path+".putHost", p)
	}
	for _, s := range []string{e.WithdrawKey, e.DeleteAccount, e.DeleteService, e.DeleteRoute, e.RemoveHost} {
		set(s != "")
	}
	set(e.FinishRosterChange)
	if n != 1 {
		p.add(path, fmt.Sprintf("%d edits", n), "exactly one edit")
	}
}

// Encode returns the change as canonical JSON.
func (c Change) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "config.Encode")
}

// DecodeChange reads a change and refuses unknown fields.
func DecodeChange(b []byte) (Change, error) {
	var c Change
	if err := decodeStrict(b, &c); err != nil {
		return Change{}, errors.Wrap(err, "config.DecodeChange")
	}
	return c, nil
}

func chain(digest string, data []byte) string {
	h := sha256.New()
	h.Write([]byte(digest))
	h.Write(data)
	return hex.EncodeToString(h.Sum(nil))
}
