package runner

import (
	"bytes"
	"strconv"
)

// body returns the request body with the bound of the answer and the wish for usage figures, where the caller set none.
func (mo *modelRun) body() []byte {
	ca := mo.call
	if !ca.AddMaxTokens && !ca.AddUsageOption {
		return ca.Body
	}
	end := bytes.LastIndexByte(ca.Body, '}')
	if end < 0 {
		return ca.Body
	}
	out := make([]byte, 0, len(ca.Body)+len(capMember)+len(usageMember)+maxDigits)
	out = append(out, ca.Body[:end]...)
	if ca.AddMaxTokens {
		out = append(out, capMember...)
		out = strconv.AppendInt(out, ca.MaxAnswerTokens, 10)
	}
	if ca.AddUsageOption {
		out = append(out, usageMember...)
	}
	return append(out, ca.Body[end:]...)
}

const (
	capMember   = `,"max_tokens":`
	usageMember = `,"stream_options":{"include_usage":true}`
	maxDigits   = 20
)
