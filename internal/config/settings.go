package config

import "time"

// Settings are the checked settings of one instance.
type Settings struct {
	Instance  Instance
	Platform  Platform
	Callers   Callers
	Budgets   Budgets
	Log       Log
	Endpoints Endpoints
	TLS       TLS
	// Edge holds the settings of an instance for routed services, which have a file of their own.
	Edge Edge
}

// Instance names the instance and where it listens.
type Instance struct {
	Name            string
	Domain          string
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	DrainGrace      time.Duration
	DrainTimeout    time.Duration
}

// Platform names the platform's services.
type Platform struct {
	LogAddress  string
	ListAddress string
	Seeds       []string
}

// Callers bounds what callers may send.
type Callers struct {
	MaxBodyBytes   int64
	BodyTimeout    time.Duration
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxConnections int64
}

// Budgets sets how much of a budget is spread out ahead of need.
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

// Log sets the pace of appends and checkpoints.
type Log struct {
	FlushInterval      time.Duration
	MinInterval        time.Duration
	Heartbeat          time.Duration
	CheckpointEntries  int64
	CheckpointInterval time.Duration
}

// Endpoints sets how endpoints are called and watched.
type Endpoints struct {
	SilentAfter    time.Duration
	ServiceTimeout time.Duration
	LoadInterval   time.Duration
}

// TLS names the files for encrypted connections.
type TLS struct {
	PlainText        bool
	Certificate      string
	Key              string
	PeerAuthority    string
	ReloadInterval   time.Duration
	CallersPlainText bool
}
