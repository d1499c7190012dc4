package config

import "time"

// Settings holds the validated settings of one instance. settingsTable and edgeSettingsTable describe each of them.
type Settings struct {
	Instance  Instance
	Platform  Platform
	Callers   Callers
	Budgets   Budgets
	Log       Log
	Endpoints Endpoints
	TLS       TLS
	// Edge holds the settings of an instance that runs with the command edge. The settings file of such an instance has
	// other settings, which set only this field.
	Edge Edge
}

// Instance holds the name of the instance, the addresses on which it listens and the timeouts of its shutdown.
type Instance struct {
	// Name is the name of the instance, for operators.
	Name            string
	Domain          string
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// DrainGrace is the time between failing the readiness check and refusing new requests.
	DrainGrace time.Duration
	// DrainTimeout bounds the wait at shutdown for requests in flight and for the settlement of budgets.
	DrainTimeout time.Duration
}

// Platform holds the addresses of the platform's services and of the first peers.
type Platform struct {
	LogAddress  string
	ListAddress string
	// Seeds holds the addresses of the peers through which the log can be reached before the first read.
	Seeds []string
}

// Callers limits the requests and connections of callers.
type Callers struct {
	MaxBodyBytes int64
	// BodyTimeout is the maximum time to receive a request body.
	BodyTimeout    time.Duration
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxConnections int64
}

// Budgets sets the sizes of the grants that instances hold, and the limits of their spending while the log is unreachable.
type Budgets struct {
	// Survive is the time for which a grant lasts at the current demand while the log is unreachable.
	Survive time.Duration
	// Delay is how long the log must have accepted no batch of this instance before the instance's spending ceilings start to rise. They
	// rise so that the instance can keep serving while it cannot write higher ceilings to the log.
	Delay time.Duration
	// SlackSpan is the time for which the slack of a ceiling lasts at the current demand. The slack is the part of the ceiling above the tokens
	// spent and reserved.
	SlackSpan time.Duration
	// MinSlackTokens is the minimum slack of a ceiling.
	MinSlackTokens int64
	// IdleSpan is how long there must be no demand before an unused grant is returned.
	IdleSpan time.Duration
	// HeadRoomPercent is the rate at which a ceiling rises, in percent of the measured demand.
	HeadRoomPercent int64
	// PrefetchTokens is the grant that an instance claims of each budget in advance; zero claims none.
	PrefetchTokens int64
	// PrefetchBudgets limits this prefetching: with more budgets than this, no grants are claimed in advance.
	PrefetchBudgets int64
}

// Log sets the intervals of appends and checkpoints.
type Log struct {
	// FlushInterval is the interval between batches without urgent records.
	FlushInterval time.Duration
	// MinInterval is the mean interval between batches under load; it limits the append rate of an instance.
	MinInterval time.Duration
	// Heartbeat is how long an instance appends no batch before it appends an empty one.
	Heartbeat time.Duration
	// A checkpoint is due after CheckpointEntries log entries, or after CheckpointInterval if there was any entry.
	CheckpointEntries  int64
	CheckpointInterval time.Duration
}

// Endpoints sets the timeouts for calling endpoints and the interval of polling their load.
type Endpoints struct {
	// SilentAfter is how long a response may bring no data before it is resumed on a new connection.
	SilentAfter time.Duration
	// ServiceTimeout is the maximum duration of one call of an idempotent service.
	ServiceTimeout time.Duration
	// ResponseMemoryBytes bounds the memory that complete responses take together.
	ResponseMemoryBytes int64
	// LoadInterval is the interval at which each endpoint is polled for its load.
	LoadInterval time.Duration
}

// TLS holds the paths of the files for encrypted connections, and flags for connections without encryption.
type TLS struct {
	PlainText bool
	// Certificate is the path of the certificate file.
	Certificate string
	// Key is the path of the file with the certificate's private key.
	Key              string
	PeerAuthority    string
	ReloadInterval   time.Duration
	CallersPlainText bool
}
