package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/labstack/echo/v4"

	"github.com/clementineweir/clementineweir/pkg/engine"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	// maxTemplateTokens is the maximum number of tokens that a chat template adds to a prompt.
	maxTemplateTokens  = 256
	maxChoices         = 16
	streamOptionsField = "stream_options"
)

// completionBody holds the fields of a completion request that the router uses.
type completionBody struct {
	Model               string         `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	Prompt              jsontext.Value `json:"prompt"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           *int64         `json:"max_tokens"`
	MaxCompletionTokens *int64         `json:"max_completion_tokens"`
	Choices             *int64         `json:"n"`
	BestOf              *int64         `json:"best_of"`
}

type chatMessage struct {
	Role    string         `json:"role"`
	Content jsontext.Value `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type contentPart struct {
	Type string `json:"type"`
}

func (se *server) completion(ct echo.Context) error {
	ad, err := se.admit(ct)
	if err != nil {
		return err
	}
	chat := ct.Path() == "/v1/chat/completions"
	cb, err := parseCompletion(ad.body, chat)
	if err != nil {
		return err
	}
	rq := ad.request
	rq.Method = ct.Request().Method
	rq.Path = ct.Path()
	rq.ContentType = echo.MIMEApplicationJSON
	rq.Body = ad.body
	rq.ContentHash = contentHash(rq.Path, ad.body)
	cb.fill(&rq)
	return se.serve(ct, rq)
}

func (se *server) serve(ct echo.Context, rq engine.Request) error {
	si := newSink(ct, rq.Stream)
	err := se.config.Engine.Serve(ct.Request().Context(), rq, si)
	if err == nil {
		return nil
	}
	return si.fail(fault.From(err, fault.MayHaveRun))
}

// parseCompletion decodes a body and validates the fields that the router uses.
func parseCompletion(data []byte, chat bool) (completionBody, error) {
	var cb completionBody
	if err := json.Unmarshal(data, &cb); err != nil {
		return cb, invalidBody(err)
	}
	for _, check := range []func(bool) error{cb.checkPrompt, cb.checkStream, cb.checkNumbers, cb.checkContent} {
		if err := check(chat); err != nil {
			return cb, err
		}
	}
	return cb, nil
}

func (cb completionBody) checkPrompt(chat bool) error {
	switch {
	case cb.Model == "":
		return unprocessable("model is missing")
	case chat && len(cb.Messages) == 0:
		return unprocessable("messages is missing or empty")
	case !chat && len(cb.Prompt) == 0:
		return unprocessable("prompt is missing")
	case !chat && cb.Prompt.Kind() != '"':
		return unprocessable("prompt must be one string")
	default:
		return nil
	}
}

func (cb completionBody) checkStream(bool) error {
	switch {
	case cb.StreamOptions == nil:
		return nil
	case !cb.Stream:
		return unprocessable(streamOptionsField + " is allowed only with stream")
	case !cb.StreamOptions.IncludeUsage:
		return unprocessable(streamOptionsField + " without include_usage true is not supported: leave it out")
	default:
		return nil
	}
}

func (cb completionBody) checkNumbers(bool) error {
	for _, count := range []*int64{cb.Choices, cb.BestOf} {
		if count != nil && (*count < 1 || *count > maxChoices) {
			return unprocessable("n and best_of must be between 1 and 16")
		}
	}
	for _, bound := range []*int64{cb.MaxTokens, cb.MaxCompletionTokens} {
		if bound != nil && *bound < 1 {
			return unprocessable("max_tokens and max_completion_tokens must be 1 or more")
		}
	}
	return nil
}

func (cb completionBody) checkContent(bool) error {
	for _, me := range cb.Messages {
		if me.Role == "" {
			return unprocessable("a message has no role")
		}
		if !textOnly(me.Content) {
			return unprocessable("only text content is supported, since its cost is known beforehand")
		}
	}
	return nil
}

// textOnly reports whether content is absent, a string, or a list of text parts.
func textOnly(content jsontext.Value) bool {
	if len(content) == 0 || content.Kind() == '"' || content.Kind() == 'n' {
		return true
	}
	var parts []contentPart
	if json.Unmarshal(content, &parts) != nil {
		return false
	}
	for _, pa := range parts {
		if pa.Type != "text" {
			return false
		}
	}
	return true
}

// fill copies the fields of the body to the request and sets the token bounds of the reservation.
func (cb completionBody) fill(rq *engine.Request) {
	rq.Model = cb.Model
	rq.Stream = cb.Stream
	rq.Prompt = rq.Body
	rq.Parts = cb.parts()
	// A token encodes at least one byte, so the length of the body is an upper bound.
	rq.MaxPromptTokens = int64(len(rq.Body)) + maxTemplateTokens
	rq.Choices = max(valueOf(cb.Choices), valueOf(cb.BestOf), 1)
	rq.MaxAnswerTokens = max(valueOf(cb.MaxTokens), valueOf(cb.MaxCompletionTokens))
	rq.AddUsageOption = cb.Stream && cb.StreamOptions == nil
}

// maxParts is the maximum number of messages or paragraphs that are hashed as parts of a prompt.
const maxParts = 64

// parts returns the hashes of the messages, or of the paragraphs of a prompt without messages.
func (cb completionBody) parts() []uint64 {
	if len(cb.Messages) == 0 {
		return paragraphHashes(cb.Prompt)
	}
	count := min(len(cb.Messages), maxParts)
	list := make([]uint64, 0, count)
	for _, me := range cb.Messages[:count] {
		list = append(list, xxhash.Sum64(append([]byte(me.Role+"\x00"), me.Content...)))
	}
	return list
}

func paragraphHashes(prompt jsontext.Value) []uint64 {
	var text string
	if json.Unmarshal(prompt, &text) != nil {
		// checkPrompt has rejected a prompt that is not a string.
		return nil
	}
	var list []uint64
	for _, paragraph := range strings.SplitN(text, "\n\n", maxParts) {
		list = append(list, xxhash.Sum64String(paragraph))
	}
	return list
}

func valueOf(val *int64) int64 {
	if val == nil {
		return 0
	}
	return *val
}

// contentHash returns the hash that identifies equal requests: it covers the path and the body.
func contentHash(path string, body []byte) string {
	di := sha256.New()
	_, _ = di.Write([]byte(path))
	_, _ = di.Write([]byte{0})
	_, _ = di.Write(body)
	return hex.EncodeToString(di.Sum(nil)[:16])
}

func unprocessable(message string) error {
	return fault.New(fault.Invalid, fault.NotRun, message)
}

func invalidBody(err error) error {
	var sem *json.SemanticError
	if errors.As(err, &sem) {
		return unprocessable("the body has a value of the wrong type at " + string(sem.JSONPointer))
	}
	return fault.Wrap(err, fault.Malformed, fault.NotRun, "the body is not valid JSON")
}
