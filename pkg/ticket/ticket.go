package ticket

import "time"

// Ticket is a numbered configuration change. Each object in it replaces the object of the same kind and name, unless a ticket with
// a greater Number set that object. An object whose field Removed is set is no longer in use. PublishedAt is a time in RFC 3339;
// Reason is a note for the audit trail.
type Ticket struct {
	Number      int64      `json:"number"`
	Author      string     `json:"author"`
	Reason      string     `json:"reason,omitempty"`
	PublishedAt string     `json:"publishedAt,omitempty"`
	Teams       []Team     `json:"teams,omitempty"`
	Budgets     []Budget   `json:"budgets,omitempty"`
	Classes     []Class    `json:"classes,omitempty"`
	Services    []Service  `json:"services,omitempty"`
	Endpoints   []Endpoint `json:"endpoints,omitempty"`
	Instances   []Instance `json:"instances,omitempty"`
	Contents    []Content  `json:"contents,omitempty"`
}

// Team is a paying customer. Name is the name of the team; KeyHashes are the hexadecimal SHA-256 hashes of the keys that
// authenticate its requests. DefaultBudget and DefaultClass apply to requests that name no budget or class.
type Team struct {
	Name          string   `json:"name"`
	KeyHashes     []string `json:"keyHashes,omitempty"`
	DefaultBudget string   `json:"defaultBudget,omitempty"`
	DefaultClass  string   `json:"defaultClass,omitempty"`
	Removed       bool     `json:"removed,omitempty"`
}

// Budget is a prepaid budget of one team. Name is the name of the budget, Team the name of its team. PrepaidTokens is the total
// paid so far; spent tokens are not deducted from it.
type Budget struct {
	Name          string `json:"name"`
	Team          string `json:"team"`
	PrepaidTokens int64  `json:"prepaidTokens"`
	Removed       bool   `json:"removed,omitempty"`
}

// Class is a request class. Timeout covers the whole request, with its time in queues and all attempts; MaxAnswerTokens limits
// each answer. Name is the name of the class. Requests of a greater Priority are dispatched first; those of an Idempotent class may be retried
// even if an endpoint may have run them.
type Class struct {
	Name            string   `json:"name"`
	Timeout         Duration `json:"timeout"`
	Priority        int      `json:"priority,omitempty"`
	MaxAnswerTokens int64    `json:"maxAnswerTokens"`
	Idempotent      bool     `json:"idempotent"`
	Removed         bool     `json:"removed,omitempty"`
}

// Service is a plain service, that is any HTTP service that is not a language model. Name is the name of the service; each call
// costs TokensPerCall.
type Service struct {
	Name          string `json:"name"`
	TokensPerCall int64  `json:"tokensPerCall,omitempty"`
	Removed       bool   `json:"removed,omitempty"`
}

// Endpoint serves either Models or a plain Service; Slots is the number of requests that it runs at once. Domain is the failure
// domain of the endpoint, Name the name of the endpoint.
//
// A Leaving endpoint is drained: it gets no new requests. ChecksFencing states that the endpoint checks the fencing
// number of each request, which is the number of the incarnation that sent the request; the router does not use this field.
type Endpoint struct {
	Name          string   `json:"name"`
	Address       string   `json:"address"`
	Domain        string   `json:"domain"`
	Models        []string `json:"models,omitempty"`
	Service       string   `json:"service,omitempty"`
	Slots         int      `json:"slots"`
	ChecksFencing bool     `json:"checksFencing,omitempty"`
	Leaving       bool     `json:"leaving,omitempty"`
	Removed       bool     `json:"removed,omitempty"`
}

// Instance retires an incarnation of a router instance: the operator confirms that its process is dead.
type Instance struct {
	Incarnation int64 `json:"incarnation"`
	Retired     bool  `json:"retired"`
}

// Content releases quarantined request content, identified by its hash.
type Content struct {
	Hash     string `json:"hash"`
	Released bool   `json:"released"`
}

// Duration is a time.Duration written as text such as "30s".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (du Duration) Std() time.Duration { return time.Duration(du) }

// MarshalText returns the duration as text such as "1m30s".
func (du Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(du).String()), nil
}

// UnmarshalText parses a duration such as "1m30s".
func (du *Duration) UnmarshalText(text []byte) error {
	val, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*du = Duration(val)
	return nil
}
