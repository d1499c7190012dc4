package plat

// Paths of the platform's HTTP API.
const (
	EntriesPath   = "/v1/streams/{stream}/entries"
	InstancesPath = "/v1/instances"
)

// AppendResponse is the response to an append.
type AppendResponse struct {
	// Offset is the offset of the appended entry.
	Offset int64 `json:"offset"`
}

// PageResponse is the response to a read.
type PageResponse struct {
	// First is the offset of the oldest retained entry of the stream.
	First int64 `json:"first"`
	// Next is the offset after the newest entry of the stream.
	Next int64 `json:"next"`
	// From is the offset of the first of Entries.
	From int64 `json:"from"`
	// Entries holds consecutive entries of the stream, in order.
	Entries [][]byte `json:"entries"`
}

// ListedInstance is one entry of the instance list.
type ListedInstance struct {
	// Address is the address of the listed process. It equals ticket.Endpoint.Address if the process is an endpoint.
	Address string `json:"address"`
	// State is StateLive or StateLeaving.
	State string `json:"state"`
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
