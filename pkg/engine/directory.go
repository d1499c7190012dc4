package engine

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Directory is an immutable index of the current teams, classes and services.
type Directory struct {
	teams map[string]ticket.Team
	// keys maps the hash of each team key to the name of the team.
	keys     map[string]string
	classes  map[string]ticket.Class
	services map[string]ticket.Service
}

// NewDirectory returns an index of the given state. It leaves out teams, classes and services that are marked as removed.
func NewDirectory(st *ledger.State) *Directory {
	di := &Directory{
		teams: map[string]ticket.Team{}, keys: map[string]string{},
		classes: map[string]ticket.Class{}, services: map[string]ticket.Service{},
	}
	for _, te := range st.Teams() {
		di.addTeam(te)
	}
	for _, cl := range st.Classes() {
		if !cl.Removed {
			di.classes[cl.Name] = cl
		}
	}
	for _, se := range st.Services() {
		if !se.Removed {
			di.services[se.Name] = se
		}
	}
	return di
}

func (di *Directory) addTeam(te ticket.Team) {
	if te.Removed {
		return
	}
	di.teams[te.Name] = te
	for _, hash := range te.KeyHashes {
		di.keys[hash] = te.Name
	}
}

// HashKey returns the hexadecimal SHA-256 of a team key, the form in which tickets contain it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TeamOf returns the team that a team key belongs to.
//
// The key is looked up by its hash, and the stored hash is compared in constant time.
func (di *Directory) TeamOf(key string) (ticket.Team, bool) {
	hash := HashKey(key)
	name, ok := di.keys[hash]
	te := di.teams[name]
	for _, stored := range te.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(stored), []byte(hash)) == 1 {
			return te, ok
		}
	}
	return ticket.Team{}, false
}

// Class returns the request class of the given name.
func (di *Directory) Class(name string) (ticket.Class, bool) {
	cl, ok := di.classes[name]
	return cl, ok
}

// Service returns the service of the given name.
func (di *Directory) Service(name string) (ticket.Service, bool) {
	se, ok := di.services[name]
	return se, ok
}
