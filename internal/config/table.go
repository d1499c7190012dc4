package config

import (
	"strings"
	"time"
)

// kind is the type of a setting.
type kind uint8

const (
	text kind = iota + 1
	listenAddress
	httpURL
	addressList
	duration
	number
	decimal
	flag
	file
)

// setting describes one key of a section. minimum is the minimum number, or the minimum duration in nanoseconds, and field
// returns a pointer to the field that holds the value.
type setting struct {
	section      string
	key          string
	kind         kind
	defaultValue string
	required     bool
	minimum      int64
	description  string
	field        func(se *Settings) any
}

const (
	// minDuration is the minimum of a duration that must not be zero, in nanoseconds.
	minDuration = int64(time.Millisecond)
)

// settingsTable lists every setting, in the order of the reference page.
var settingsTable = []setting{
	{"instance", "name", text, "", true, 0, "Name of the instance, for operators.", func(se *Settings) any { return &se.Instance.Name }},
	{"instance", "domain", text, "", true, 0, "Failure domain in which the instance runs.", func(se *Settings) any { return &se.Instance.Domain }},
	{"instance", "callerAddress", listenAddress, "127.0.0.1:8080", false, 0, "IP and port for callers.", func(se *Settings) any { return &se.Instance.CallerAddress }},
	{"instance", "operatorAddress", listenAddress, "127.0.0.1:9080", false, 0, "IP and port for operators: health, status, metrics.", func(se *Settings) any { return &se.Instance.OperatorAddress }},
	{"instance", "peerAddress", listenAddress, "127.0.0.1:9180", false, 0, "IP and port for the other instances; it identifies the instance, so no two may share it.", func(se *Settings) any { return &se.Instance.PeerAddress }},
	{"instance", "drainGrace", duration, "3s", false, 0, "Time between failing the readiness check and refusing new requests.", func(se *Settings) any { return &se.Instance.DrainGrace }},
	{"instance", "drainTimeout", duration, "10m", false, minDuration, "Longest time to wait at shutdown for requests in flight and for the settlement of budgets.", func(se *Settings) any { return &se.Instance.DrainTimeout }},
	{"platform", "logAddress", httpURL, "", true, 0, "URL of the log service.", func(se *Settings) any { return &se.Platform.LogAddress }},
	{"platform", "listAddress", httpURL, "", false, 0, "URL of the instance list; if empty, none is used.", func(se *Settings) any { return &se.Platform.ListAddress }},
	{"platform", "seeds", addressList, "", false, 0, "Addresses of peers, separated by commas, through which the log can be reached before the first read.", func(se *Settings) any { return &se.Platform.Seeds }},
	{"callers", "maxBodyBytes", number, "8388608", false, 1, "Largest request body in bytes.", func(se *Settings) any { return &se.Callers.MaxBodyBytes }},
	{"callers", "bodyTimeout", duration, "30s", false, minDuration, "Longest time to receive a request body.", func(se *Settings) any { return &se.Callers.BodyTimeout }},
	{"callers", "headerTimeout", duration, "5s", false, minDuration, "Longest time to receive the request headers.", func(se *Settings) any { return &se.Callers.HeaderTimeout }},
	{"callers", "idleTimeout", duration, "2m", false, minDuration, "Time after which an idle connection is closed.", func(se *Settings) any { return &se.Callers.IdleTimeout }},
	{"callers", "maxConnections", number, "20000", false, 1, "Largest number of open connections from callers.", func(se *Settings) any { return &se.Callers.MaxConnections }},
	{"budgets", "survive", duration, "15m", false, minDuration, "Time for which a grant lasts at the current demand while the log is unreachable.", func(se *Settings) any { return &se.Budgets.Survive }},
	{"budgets", "delay", duration, "5s", false, minDuration, "Time without an accepted batch after which a spending ceiling starts to rise.", func(se *Settings) any { return &se.Budgets.Delay }},
	{"budgets", "slackSpan", duration, "15s", false, minDuration, "Time for which the slack of a ceiling lasts at the current demand. The slack is the part above the tokens spent and reserved; it limits what is written off when an instance is lost.", func(se *Settings) any { return &se.Budgets.SlackSpan }},
	{"budgets", "minSlackTokens", number, "20000", false, 1, "Minimum slack of a ceiling, in tokens.", func(se *Settings) any { return &se.Budgets.MinSlackTokens }},
	{"budgets", "idleSpan", duration, "10m", false, minDuration, "Time without demand after which an unused grant is returned.", func(se *Settings) any { return &se.Budgets.IdleSpan }},
	{"budgets", "headRoomPercent", number, "200", false, 100, "Rate at which a ceiling rises, in percent of the measured demand.", func(se *Settings) any { return &se.Budgets.HeadRoomPercent }},
	{"budgets", "prefetchTokens", number, "200000", false, 0, "Grant that an instance claims of each budget in advance, in tokens; 0 claims none.", func(se *Settings) any { return &se.Budgets.PrefetchTokens }},
	{"budgets", "prefetchBudgets", number, "200", false, 0, "If there are more budgets than this, no grants are claimed in advance.", func(se *Settings) any { return &se.Budgets.PrefetchBudgets }},
	{"log", "flushInterval", duration, "200ms", false, minDuration, "Interval between batches without urgent records.", func(se *Settings) any { return &se.Log.FlushInterval }},
	{"log", "minInterval", duration, "50ms", false, minDuration, "Mean interval between batches under load; it limits the append rate of an instance.", func(se *Settings) any { return &se.Log.MinInterval }},
	{"log", "heartbeat", duration, "1s", false, minDuration, "Time without a batch after which an empty batch is appended.", func(se *Settings) any { return &se.Log.Heartbeat }},
	{"log", "checkpointEntries", number, "20000", false, 100, "Number of entries after which a checkpoint is written; must be well below the number that the log retains.", func(se *Settings) any { return &se.Log.CheckpointEntries }},
	{"log", "checkpointInterval", duration, "10m", false, minDuration, "Time after which a checkpoint is written; must be well below the retention time of the log.", func(se *Settings) any { return &se.Log.CheckpointInterval }},
	{"endpoints", "silentAfter", duration, "5s", false, minDuration, "Time without data after which a response is resumed on a new connection.", func(se *Settings) any { return &se.Endpoints.SilentAfter }},
	{"endpoints", "serviceTimeout", duration, "10s", false, minDuration, "Longest time for one call of an idempotent service.", func(se *Settings) any { return &se.Endpoints.ServiceTimeout }},
	{"endpoints", "loadInterval", duration, "1s", false, minDuration, "Interval at which each endpoint is polled for its load.", func(se *Settings) any { return &se.Endpoints.LoadInterval }},
	{"endpoints", "responseMemoryBytes", number, "268435456", false, 1048576, "Memory that complete responses may take together, in bytes; a response that does not fit fails.", func(se *Settings) any { return &se.Endpoints.ResponseMemoryBytes }},
	{"tls", "plainText", flag, "false", false, 0, "Whether all connections are unencrypted.", func(se *Settings) any { return &se.TLS.PlainText }},
	{"tls", "callersPlainText", flag, "false", false, 0, "Whether only the callers' connections are unencrypted, as behind a load balancer that terminates TLS.", func(se *Settings) any { return &se.TLS.CallersPlainText }},
	{"tls", "certificate", file, "", false, 0, "PEM file with the certificate of the instance.", func(se *Settings) any { return &se.TLS.Certificate }},
	{"tls", "key", file, "", false, 0, "PEM file with the private key of the certificate.", func(se *Settings) any { return &se.TLS.Key }},
	{"tls", "peerAuthority", file, "", false, 0, "PEM file with the certificate of the authority that signs the certificates of the instances.", func(se *Settings) any { return &se.TLS.PeerAuthority }},
	{"tls", "reloadInterval", duration, "1m", false, minDuration, "Interval at which the files are loaded again.", func(se *Settings) any { return &se.TLS.ReloadInterval }},
}

// Defaults returns the settings with all defaults; required settings are empty.
func Defaults() Settings { return defaultsOf(settingsTable) }

func defaultsOf(tb []setting) Settings {
	var se Settings
	for _, sg := range tb {
		if sg.defaultValue != "" {
			_ = sg.assign(&se, sg.defaultValue)
		}
	}
	return se
}

func (sg setting) id() string { return sg.section + "." + sg.key }

func lookup(tb []setting, section, key string) (setting, bool) {
	for _, sg := range tb {
		if sg.section == section && sg.key == key {
			return sg, true
		}
	}
	return setting{}, false
}

func hasSection(tb []setting, name string) bool {
	for _, sg := range tb {
		if sg.section == name {
			return true
		}
	}
	return false
}

func splitList(val string) []string {
	var list []string
	for _, part := range strings.Split(val, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}
