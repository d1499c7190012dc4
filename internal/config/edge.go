package config

import "time"

// Edge holds the validated settings of one instance for routed services, that is for the services that the routes of the platform's
// configuration name. The command edge runs such an instance.
type Edge struct {
	// Name is the name of the instance; no two may share it.
	Name          string
	Domain        string
	CallerAddress string
	// ReadyAddress is the address for readiness checks and metrics.
	ReadyAddress string
	// PeerAddress is the address for calls and notices of the other instances.
	PeerAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// CopyAge is the maximum age of a copy from which the store may come back, zero if it never loses anything.
	CopyAge time.Duration
	// FirstStart reports whether the whole fleet starts for the first time, so that the store has lost nothing of it.
	FirstStart bool
	// Grace is the time between SIGTERM and the end of the process.
	Grace time.Duration
	// RetryRatio is the maximum ratio of retries to requests of a service, over the whole fleet.
	RetryRatio float64
	// RetryHeadroom is the number of retries of a service that are allowed per window in addition to the ratio, over the whole fleet.
	RetryHeadroom int64
	// RetryWindow is the length of the sliding window in which requests and retries are counted.
	RetryWindow time.Duration
	// BytePrice is the latency, in milliseconds, that sending one megabyte to another failure domain is worth.
	BytePrice float64
	// MemoryMegabytes is the memory that the process may use.
	MemoryMegabytes int64
	// CPUCores is the processor time that the process may use, in cores; zero means that it is not known.
	CPUCores float64
	// LinkMegabits is the rate of the machine's link in megabits a second, in each direction; zero means that it is not known.
	LinkMegabits float64
}

// edgeSettingsTable lists all settings of an instance that runs with the command edge; see Edge.
var edgeSettingsTable = []setting{
	{"instance", "name", text, "", true, 0, "Name of the instance; no two may share it.", func(se *Settings) any { return &se.Edge.Name }},
	{"instance", "domain", text, "", true, 0, "Failure domain in which the instance runs.", func(se *Settings) any { return &se.Edge.Domain }},
	{"instance", "callerAddress", listenAddress, "", true, 0, "IP and port for callers.", func(se *Settings) any { return &se.Edge.CallerAddress }},
	{"instance", "readyAddress", listenAddress, "", true, 0, "IP and port for readiness checks and metrics.", func(se *Settings) any { return &se.Edge.ReadyAddress }},
	{"instance", "peerAddress", listenAddress, "", true, 0, "IP and port for the other instances.", func(se *Settings) any { return &se.Edge.PeerAddress }},
	{"instance", "grace", duration, "8s", false, minDuration, "Time between SIGTERM and the end of the process.", func(se *Settings) any { return &se.Edge.Grace }},
	{"instance", "firstStart", flag, "false", false, 0, "Whether the whole fleet starts for the first time, so that there is nothing in the store to wait for.", func(se *Settings) any { return &se.Edge.FirstStart }},
	{"instance", "memoryMegabytes", number, "256", false, 32, "Memory that the process may use, in megabytes.", func(se *Settings) any { return &se.Edge.MemoryMegabytes }},
	{"instance", "cpuCores", decimal, "0", false, 0, "Processor time that the process may use, in cores; with 0, requests are not refused because it is used up.", func(se *Settings) any { return &se.Edge.CPUCores }},
	{"instance", "linkMegabits", decimal, "0", false, 0, "Rate of the machine's link in megabits a second; with 0, requests are not refused because it is full.", func(se *Settings) any { return &se.Edge.LinkMegabits }},
	{"store", "address", listenAddress, "", true, 0, "IP and port of the platform's metadata store.", func(se *Settings) any { return &se.Edge.StoreAddress }},
	{"store", "copyAge", duration, "6s", false, 0, "Maximum age of a copy from which the store may come back; 0s if it never loses anything.", func(se *Settings) any { return &se.Edge.CopyAge }},
	{"retry", "ratio", decimal, "0.2", false, 0, "Largest ratio of retries to requests of a service, over the whole fleet.", func(se *Settings) any { return &se.Edge.RetryRatio }},
	{"retry", "headroom", number, "50", false, 0, "Retries of a service that are allowed in a window beyond the ratio, over the whole fleet.", func(se *Settings) any { return &se.Edge.RetryHeadroom }},
	{"retry", "window", duration, "10s", false, minDuration, "Sliding window in which retries are counted.", func(se *Settings) any { return &se.Edge.RetryWindow }},
	{"spill", "bytePrice", decimal, "60", false, 0, "Latency in milliseconds that sending one megabyte to another failure domain is worth.", func(se *Settings) any { return &se.Edge.BytePrice }},
}

// minGrace is the minimum grace period: the time to announce the shutdown to the platform and to settle the grants.
const minGrace = 2 * time.Second

// checkEdgeConsistency adds a problem for each setting that contradicts another or leaves too little time to stop.
func (pa *parser) checkEdgeConsistency() {
	ed := pa.settings.Edge
	if ed.CallerAddress != "" && ed.CallerAddress == ed.ReadyAddress {
		pa.addProblem("instance.readyAddress", "must differ from instance.callerAddress")
	}
	if ed.Grace < minGrace {
		pa.addProblem("instance.grace", "must be at least %s, or requests are cut off", minGrace)
	}
}
