package plat

// Paths of the platform's HTTP API.
const (
	EntriesPath   = "/v1/streams/{stream}/entries"
	InstancesPath = "/v1/instances"
)

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// PageResponse is the response to a read.
type PageResponse struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	From    int64    `json:"from"`
	Entries [][]byte `json:"entries"`
}

// ListedInstance is one entry of the instance list; State is "live" or "leaving".
type ListedInstance struct {
	Address string `json:"address"`
	State   string `json:"state"`
}

// The states of a listed instance.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// ListResponse is the instance list.
type ListResponse struct {
	Instances []ListedInstance `json:"instances"`
}
