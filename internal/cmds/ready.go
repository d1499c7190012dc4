package cmds

import (
	"context"
	"net/http"
)

// isReady reports whether the instance with this operators' address passes its readiness check.
func isReady(ctx context.Context, address string) bool {
	rctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(rctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}
