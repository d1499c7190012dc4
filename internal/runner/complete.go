package runner

import (
	"io"
	"mime"
	"net/http"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/clementineweir/clementineweir/pkg/fault"
)

// readComplete reads a whole response body from rd, the body of rs or a reader around it. It fails if the body exceeds maxResponseBytes, or
// if it ends with the connection and is not complete JSON although the response says that it is JSON.
func readComplete(rs *http.Response, rd io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(rd, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(data) > maxResponseBytes:
		return nil, fault.New(fault.Upstream, fault.MayHaveRun, "the response of the endpoint is too large")
	case rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 && isJSON(rs.Header) && !validJSON(data):
		return nil, io.ErrUnexpectedEOF
	default:
		return data, nil
	}
}

func isJSON(he http.Header) bool {
	kind, _, err := mime.ParseMediaType(he.Get("Content-Type"))
	return err == nil && kind == "application/json"
}

func validJSON(data []byte) bool {
	return jsontext.Value(data).IsValid(jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
}
