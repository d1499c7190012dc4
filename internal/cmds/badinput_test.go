package cmds

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/internal/fakes"
)

var badInputPath = flag.String("badinput", "", "file to write the table of bad inputs to, as Markdown")

// badInput is a request that must be refused, with the expected status and error code.
type badInput struct {
	name   string
	path   string
	key    string
	header [2]string
	body   string
	status int
	code   string
}

const chatPath = "/v1/chat/completions"

func chatBody(rest string) string {
	return `{"model":"weir-large","messages":[{"role":"user","content":"hi"}]` + rest + `}`
}

var badInputs = []badInput{
	{"no key", chatPath, "", [2]string{}, chatBody(""), 401, "invalid_api_key"},
	{"unknown key", chatPath, "wrong", [2]string{}, chatBody(""), 401, "invalid_api_key"},
	{"empty body", chatPath, fakes.ExampleKey, [2]string{}, ``, 400, "malformed_body"},
	{"not JSON", chatPath, fakes.ExampleKey, [2]string{}, `hello`, 400, "malformed_body"},
	{"cut short", chatPath, fakes.ExampleKey, [2]string{}, `{"model":"weir-large","messages":[`, 400, "malformed_body"},
	{"two values", chatPath, fakes.ExampleKey, [2]string{}, chatBody("") + chatBody(""), 400, "malformed_body"},
	{"duplicated member", chatPath, fakes.ExampleKey, [2]string{}, chatBody(`,"model":"other"`), 400, "malformed_body"},
	{"nested 20,000 deep", chatPath, fakes.ExampleKey, [2]string{}, chatBody(`,"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000)), 400, "malformed_body"},
	{"invalid UTF-8", chatPath, fakes.ExampleKey, [2]string{}, "{\"model\":\"\xff\"}", 400, "malformed_body"},
	{"model of the wrong type", chatPath, fakes.ExampleKey, [2]string{}, `{"model":7,"messages":[]}`, 422, "invalid_request"},
	{"no model", chatPath, fakes.ExampleKey, [2]string{}, `{"messages":[{"role":"user","content":"hi"}]}`, 422, "invalid_request"},
	{"no messages", chatPath, fakes.ExampleKey, [2]string{}, `{"model":"weir-large"}`, 422, "invalid_request"},
	{"message without role", chatPath, fakes.ExampleKey, [2]string{}, `{"model":"weir-large","messages":[{"content":"hi"}]}`, 422, "invalid_request"},
	{"image content", chatPath, fakes.ExampleKey, [2]string{}, `{"model":"weir-large","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 422, "invalid_request"},
	{"negative max_tokens", chatPath, fakes.ExampleKey, [2]string{}, chatBody(`,"max_tokens":-1`), 422, "invalid_request"},
	{"max_tokens above the class", chatPath, fakes.ExampleKey, [2]string{}, chatBody(`,"max_tokens":999999`), 422, "invalid_request"},
	{"n of 1,000", chatPath, fakes.ExampleKey, [2]string{}, chatBody(`,"n":1000`), 422, "invalid_request"},
	{"stream_options without stream", chatPath, fakes.ExampleKey, [2]string{}, chatBody(`,"stream_options":{"include_usage":true}`), 422, "invalid_request"},
	{"unknown model", chatPath, fakes.ExampleKey, [2]string{}, `{"model":"none","messages":[{"role":"user","content":"hi"}]}`, 404, "not_found"},
	{"unknown class", chatPath, fakes.ExampleKey, [2]string{"X-Request-Class", "none"}, chatBody(""), 422, "invalid_request"},
	{"budget of another team", chatPath, fakes.ExampleKey, [2]string{"X-Budget", "team-2"}, chatBody(""), 404, "not_found"},
	{"key of 300 bytes", chatPath, fakes.ExampleKey, [2]string{"Idempotency-Key", strings.Repeat("k", 300)}, chatBody(""), 422, "invalid_request"},
	{"body of 9 MB", chatPath, fakes.ExampleKey, [2]string{}, strings.Repeat("x", 9<<20), 413, "body_too_large"},
	{"prompt list", "/v1/completions", fakes.ExampleKey, [2]string{}, `{"model":"weir-large","prompt":["a","b"]}`, 422, "invalid_request"},
	{"unknown path", "/v2/nothing", fakes.ExampleKey, [2]string{}, `{}`, 404, "not_found"},
	{"unknown service", "/v1/services/none/x", fakes.ExampleKey, [2]string{}, `{}`, 404, "not_found"},
}

// refusal is the response that the caller of a bad input received.
type refusal struct {
	Status  int
	Code    string
	Verdict string
	Header  string
}

func TestBadInputIsRefusedAndCostsNothing(t *testing.T) {
	fl := startFleet(t)
	var sb strings.Builder
	sb.WriteString("# Bad input\n\nEach row was sent to a running instance; every refusal has the verdict `notRun` in the body and in `X-Verdict`, and no\nendpoint ran anything. Made by `go test ./internal/cmds -run TestBadInput -badinput \"$PWD/docs/BADINPUT.md\"`.\n\n| input | status | code | message |\n|---|---|---|---|\n")
	for _, bi := range badInputs {
		seen, message := fl.sendBad(t, bi)
		want := refusal{Status: bi.status, Code: bi.code, Verdict: "notRun", Header: "notRun"}
		if diff := cmp.Diff(want, seen); diff != "" {
			t.Errorf("the refusal of the input %q differs (-want +got):\n%s", bi.name, diff)
		}
		fmt.Fprintf(&sb, "| %s | %d | %s | %s |\n", bi.name, seen.Status, seen.Code, message)
	}
	if runs, _ := fl.runs(); runs != 0 {
		t.Errorf("endpoints ran %d of the invalid requests, want 0", runs)
	}
	if *badInputPath != "" {
		if err := os.WriteFile(*badInputPath, []byte(sb.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func (fl *fleet) sendBad(t *testing.T, bi badInput) (refusal, string) {
	t.Helper()
	rq, err := http.NewRequest(http.MethodPost, "http://"+fl.layout.address(0, 0)+bi.path, bytes.NewReader([]byte(bi.body)))
	if err != nil {
		t.Fatal(err)
	}
	if bi.key != "" {
		rq.Header.Set("Authorization", "Bearer "+bi.key)
	}
	if bi.header[0] != "" {
		rq.Header.Set(bi.header[0], bi.header[1])
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		t.Fatalf("the request with the input %q got no response: %v", bi.name, err)
	}
	defer rs.Body.Close()
	data, _ := io.ReadAll(rs.Body)
	var body struct {
		Error struct{ Message, Code, Verdict string }
	}
	if err := json.Unmarshal(data, &body); err != nil {
		t.Errorf("the error body for the input %q is %q, want JSON", bi.name, data)
	}
	return refusal{rs.StatusCode, body.Error.Code, body.Error.Verdict, rs.Header.Get("X-Verdict")}, body.Error.Message
}

// TestSlowBodyIsRefused sends a part of a body and then cuts the body off. The request must get no response before the cut, and
// no endpoint must run it.
func TestSlowBodyIsRefused(t *testing.T) {
	fl := startFleet(t)
	pr, pw := io.Pipe()
	rq, _ := http.NewRequest(http.MethodPost, "http://"+fl.layout.address(0, 1)+chatPath, pr)
	rq.ContentLength = 1000
	rq.Header.Set("Authorization", "Bearer "+fakes.ExampleKey)
	done := make(chan error, 1)
	go func() {
		rs, err := http.DefaultClient.Do(rq)
		if err == nil {
			_ = rs.Body.Close()
		}
		done <- err
	}()
	_, _ = pw.Write([]byte("{"))
	select {
	case <-done:
		t.Error("the request got a response before its body was complete")
	case <-time.After(200 * time.Millisecond):
	}
	_ = pw.CloseWithError(io.ErrUnexpectedEOF)
	<-done
	if runs, _ := fl.runs(); runs != 0 {
		t.Errorf("endpoints ran %d requests with an incomplete body, want 0", runs)
	}
}
