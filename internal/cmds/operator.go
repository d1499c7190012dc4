package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	operatorTimeout  = 5 * time.Second
	maxOperatorBytes = 256 << 20
)

func operatorFlag() cli.Flag {
	return &cli.StringFlag{Name: "operator", Usage: "operators' address of an instance", Value: "127.0.0.1:9080"}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON for programs"}
}

// fetch gets a page of the operators' API of an instance and decodes its JSON.
func fetch(ctx context.Context, cm *cli.Command, path string, val any) error {
	url := "http://" + cm.String("operator") + path
	rctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(rctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return exitErrorf(ExitUsage, "%s is not an address: give one such as 127.0.0.1:9080", cm.String("operator"))
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return exitErrorf(ExitUnreachable, "the instance at %s does not respond: check --operator and whether it runs (%s)", cm.String("operator"), err)
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxOperatorBytes))
	if err != nil || rs.StatusCode != http.StatusOK {
		return exitErrorf(ExitUnreachable, "the instance at %s responded with %s", cm.String("operator"), rs.Status)
	}
	if err := json.Unmarshal(data, val); err != nil {
		return exitErrorf(ExitFailed, "the response of the instance cannot be decoded: %s", err)
	}
	return nil
}

func printJSON(cm *cli.Command, val any) error {
	data, err := json.MarshalIndent(val, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cm.Root().Writer, string(data))
	return err
}
