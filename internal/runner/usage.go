package runner

import (
	"bytes"

	"github.com/go-json-experiment/json"

	"github.com/clementineweir/clementineweir/pkg/engine"
)

// usageObject is the usage object of the OpenAI-compatible API.
type usageObject struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

func (uo usageObject) usage() engine.Usage {
	if uo.PromptTokens < 0 || uo.CompletionTokens < 0 {
		return engine.Usage{}
	}
	return engine.Usage{Prompt: uo.PromptTokens, Completion: uo.CompletionTokens, Known: true}
}

// usageOfResponse returns the usage figures of a complete response.
func usageOfResponse(body []byte) engine.Usage {
	var rs struct {
		Usage *usageObject `json:"usage"`
	}
	if err := json.Unmarshal(body, &rs); err != nil || rs.Usage == nil {
		return engine.Usage{}
	}
	return rs.Usage.usage()
}

// usageOfEvent returns the usage figures of a stream event, if it has any.
func usageOfEvent(event []byte) (engine.Usage, bool) {
	if !bytes.Contains(event, usageMarker) {
		return engine.Usage{}, false
	}
	us := usageOfResponse(bytes.TrimPrefix(bytes.TrimSpace(event), []byte("data:")))
	return us, us.Known
}

// decodeUsage decodes a body that consists of a usage object.
func decodeUsage(body []byte) engine.Usage {
	var uo usageObject
	if err := json.Unmarshal(body, &uo); err != nil {
		return engine.Usage{}
	}
	return uo.usage()
}
