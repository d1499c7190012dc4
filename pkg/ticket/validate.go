package ticket

import (
	"encoding/hex"
	"fmt"
	"net/url"
	"time"
)

// Limits on the values of a ticket.
const (
	MaxNameBytes     = 128
	MaxPrepaidTokens = int64(1) << 53
	MaxAnswerTokens  = int64(1) << 24
	MaxClassTimeout  = 24 * time.Hour
	MaxSlots         = 1 << 16
	keyHashBytes     = 32
)

// Validate returns all errors that can be found without the current configuration.
//
// The messages are stored in the audit trail of the ledger: a change of wording changes the encoding of the ledger's state.
func (ti Ticket) Validate() FieldErrors {
	va := validator{seen: map[string]bool{}}
	va.checkHeader(ti)
	for ix, te := range ti.Teams {
		va.checkTeam(fmt.Sprintf("/teams/%d", ix), te)
	}
	for ix, bu := range ti.Budgets {
		va.checkBudget(fmt.Sprintf("/budgets/%d", ix), bu)
	}
	for ix, cl := range ti.Classes {
		va.checkClass(fmt.Sprintf("/classes/%d", ix), cl)
	}
	for ix, se := range ti.Services {
		va.checkService(fmt.Sprintf("/services/%d", ix), se)
	}
	for ix, en := range ti.Endpoints {
		va.checkEndpoint(fmt.Sprintf("/endpoints/%d", ix), en)
	}
	for ix, in := range ti.Instances {
		va.checkInstance(fmt.Sprintf("/instances/%d", ix), in)
	}
	for ix, co := range ti.Contents {
		va.checkContent(fmt.Sprintf("/contents/%d", ix), co)
	}
	return va.found
}

// validator collects the errors of a ticket; seen holds the kind and name of each object checked so far.
type validator struct {
	found FieldErrors
	seen  map[string]bool
}

func (va *validator) add(path, format string, args ...any) {
	va.found = append(va.found, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (va *validator) checkHeader(ti Ticket) {
	if ti.Number < 1 {
		va.add("/number", "must be 1 or more")
	}
	if ti.Author == "" {
		va.add("/author", "is missing")
	}
	total := len(ti.Teams) + len(ti.Budgets) + len(ti.Classes) + len(ti.Services) +
		len(ti.Endpoints) + len(ti.Instances) + len(ti.Contents)
	if total == 0 {
		va.add("/", "the ticket touches no object")
	}
}

func (va *validator) checkName(path, kind, name string) {
	if name == "" {
		va.add(path+"/name", "is missing")
		return
	}
	if len(name) > MaxNameBytes {
		va.add(path+"/name", "has %d bytes, at most %d are allowed", len(name), MaxNameBytes)
	}
	va.checkUnique(path, kind, name)
}

func (va *validator) checkUnique(path, kind, name string) {
	id := kind + "\x00" + name
	if va.seen[id] {
		va.add(path, "the %s %q stands twice in this ticket", kind, name)
	}
	va.seen[id] = true
}

func (va *validator) checkTeam(path string, te Team) {
	va.checkName(path, "team", te.Name)
	if te.Removed {
		return
	}
	if len(te.KeyHashes) == 0 {
		va.add(path+"/keyHashes", "needs at least one hash")
	}
	for ix, kh := range te.KeyHashes {
		raw, err := hex.DecodeString(kh)
		if err != nil || len(raw) != keyHashBytes {
			va.add(fmt.Sprintf("%s/keyHashes/%d", path, ix), "must be the SHA-256 of a key in %d hexadecimal digits", 2*keyHashBytes)
		}
	}
}

func (va *validator) checkBudget(path string, bu Budget) {
	va.checkName(path, "budget", bu.Name)
	if bu.Team == "" {
		va.add(path+"/team", "is missing")
	}
	if bu.PrepaidTokens < 0 || bu.PrepaidTokens > MaxPrepaidTokens {
		va.add(path+"/prepaidTokens", "must be between 0 and %d", MaxPrepaidTokens)
	}
}

func (va *validator) checkClass(path string, cl Class) {
	va.checkName(path, "class", cl.Name)
	if cl.Removed {
		return
	}
	if cl.Timeout <= 0 || cl.Timeout.Std() > MaxClassTimeout {
		va.add(path+"/timeout", "must be above 0 and at most %s", MaxClassTimeout)
	}
	if cl.MaxAnswerTokens < 1 || cl.MaxAnswerTokens > MaxAnswerTokens {
		va.add(path+"/maxAnswerTokens", "must be between 1 and %d", MaxAnswerTokens)
	}
}

func (va *validator) checkService(path string, se Service) {
	va.checkName(path, "service", se.Name)
	if se.TokensPerCall < 0 || se.TokensPerCall > MaxAnswerTokens {
		va.add(path+"/tokensPerCall", "must be between 0 and %d", MaxAnswerTokens)
	}
}

func (va *validator) checkEndpoint(path string, en Endpoint) {
	va.checkName(path, "endpoint", en.Name)
	if en.Removed {
		return
	}
	ur, err := url.Parse(en.Address)
	if err != nil || (ur.Scheme != "http" && ur.Scheme != "https") || ur.Host == "" {
		va.add(path+"/address", "must be a URL such as http://10.0.0.5:8000")
	}
	if en.Domain == "" {
		va.add(path+"/domain", "is missing")
	}
	if (len(en.Models) == 0) == (en.Service == "") {
		va.add(path, "needs either models or service")
	}
	if en.Slots < 1 || en.Slots > MaxSlots {
		va.add(path+"/slots", "must be between 1 and %d", MaxSlots)
	}
}

func (va *validator) checkInstance(path string, in Instance) {
	if in.Incarnation < 0 {
		va.add(path+"/incarnation", "must be 0 or more")
	}
	if !in.Retired {
		va.add(path+"/retired", "must be true: an instance cannot be brought back")
	}
	va.checkUnique(path, "instance", fmt.Sprint(in.Incarnation))
}

func (va *validator) checkContent(path string, co Content) {
	if co.Hash == "" {
		va.add(path+"/hash", "is missing")
	}
	va.checkUnique(path, "content", co.Hash)
}
