package runner

import (
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/clementineweir/clementineweir/internal/space"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

// readComplete reads a whole response body from rd, the body of rs or a reader around it, into memory of the account. It fails if the body exceeds
// maxResponseBytes or the account's space, or if it ends with the connection and is not complete JSON although the response says that it is JSON.
func readComplete(rs *http.Response, rd io.Reader, ac *space.Account) ([]byte, error) {
	data, err := ac.ReadAll(rd, rs.ContentLength, maxResponseBytes)
	switch {
	case errors.Is(err, space.ErrFull), errors.Is(err, space.ErrTooLarge):
		return nil, fault.Wrap(err, fault.Upstream, fault.MayHaveRun, "the response of the endpoint is too large")
	case err != nil:
		return nil, err
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
