package runner

import (
	"bytes"
	"strconv"
)

// requestBody returns the body of the call. It adds max_tokens and the option that requests usage figures if the call asks for them.
func (mo *modelRun) requestBody() []byte {
	ca := mo.call
	if !ca.AddMaxTokens && !ca.AddUsageOption {
		return ca.Body
	}
	end := bytes.LastIndexByte(ca.Body, '}')
	if end < 0 {
		return ca.Body
	}
	out := make([]byte, 0, len(ca.Body)+len(outputLimitMember)+len(usageOptionMember)+maxInt64Digits)
	out = append(out, ca.Body[:end]...)
	if ca.AddMaxTokens {
		out = append(out, outputLimitMember...)
		out = strconv.AppendInt(out, ca.MaxAnswerTokens, 10)
	}
	if ca.AddUsageOption {
		out = append(out, usageOptionMember...)
	}
	return append(out, ca.Body[end:]...)
}

const (
	outputLimitMember = `,"max_tokens":`
	usageOptionMember = `,"stream_options":{"include_usage":true}`
	maxInt64Digits    = 20
)
