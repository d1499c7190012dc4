package config

import "time"

// Settings holds the validated settings of one instance.
type Settings struct {
	Instance  Instance
	Platform  Platform
	Callers   Callers
	Budgets   Budgets
	Log       Log
	Endpoints Endpoints
	TLS       TLS
	// Edge holds the settings of an instance for routed services, which have a different settings file.
	Edge Edge
}

// Instance holds the name of the instance, the addresses on which it listens and the time limits of its shutdown.
type Instance struct {
	Name            string
	Domain          string
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	DrainGrace      time.Duration
	DrainTimeout    time.Duration
}

// Platform holds the addresses of the platform's services and of the first peers.
type Platform struct {
	LogAddress  string
	ListAddress string
	Seeds       []string
}

// Callers limits the requests and connections of callers.
type Callers struct {
	MaxBodyBytes   int64
	BodyTimeout    time.Duration
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxConnections int64
}

// Budgets sets the sizes of the grants that instances hold, and the limits of their spending while the log is unreachable.
type Budgets struct {
	Survive         time.Duration
	Delay           time.Duration
	SlackSpan       time.Duration
	MinSlackTokens  int64
	IdleSpan        time.Duration
	HeadRoomPercent int64
	PrefetchTokens  int64
	PrefetchBudgets int64
}

// Log sets the intervals of appends and checkpoints.
type Log struct {
	FlushInterval      time.Duration
	MinInterval        time.Duration
	Heartbeat          time.Duration
	CheckpointEntries  int64
	CheckpointInterval time.Duration
}

// Endpoints sets the timeouts for calling endpoints and the interval of polling their load.
type Endpoints struct {
	SilentAfter    time.Duration
	ServiceTimeout time.Duration
	LoadInterval   time.Duration
}

// TLS holds the paths of the files for encrypted connections, and flags for connections without encryption.
type TLS struct {
	PlainText        bool
	Certificate      string
	Key              string
	PeerAuthority    string
	ReloadInterval   time.Duration
	CallersPlainText bool
}
