package runner

import (
	"bytes"

	"github.com/go-json-experiment/json"

	"github.com/clementineweir/clementineweir/pkg/engine"
)

// usageObject are the usage figures of the OpenAI-compatible interface.
type usageObject struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

func (uf usageObject) usage() engine.Usage {
	if uf.PromptTokens < 0 || uf.CompletionTokens < 0 {
		return engine.Usage{}
	}
	return engine.Usage{Prompt: uf.PromptTokens, Completion: uf.CompletionTokens, Known: true}
}

// usageOfResponse returns the usage figures of a whole answer.
func usageOfResponse(body []byte) engine.Usage {
	var an struct {
		Usage *usageObject `json:"usage"`
	}
	if err := json.Unmarshal(body, &an); err != nil || an.Usage == nil {
		return engine.Usage{}
	}
	return an.Usage.usage()
}

// usageOfEvent returns the usage figures of an event, if it has any.
func usageOfEvent(event []byte) (engine.Usage, bool) {
	if !bytes.Contains(event, usageMarker) {
		return engine.Usage{}, false
	}
	us := usageOfResponse(bytes.TrimPrefix(bytes.TrimSpace(event), []byte("data:")))
	return us, us.Known
}

// decodeUsage returns the usage figures that stand alone in a body.
func decodeUsage(body []byte) engine.Usage {
	var uf usageObject
	if err := json.Unmarshal(body, &uf); err != nil {
		return engine.Usage{}
	}
	return uf.usage()
}
