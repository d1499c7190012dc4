package edge

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadInterval is the interval at which the settings file is checked for changes.
const reloadInterval = 2 * time.Second

// runReload applies changed settings, on SIGHUP or when the file has changed.
func (ed *Edge) runReload(ctx context.Context) error {
	if ed.config.Reload == nil {
		<-ctx.Done()
		return nil
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ti := time.NewTicker(reloadInterval)
	defer ti.Stop()
	current := ed.config.Settings
	rejected := ""
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			signalled = true
		case <-ti.C:
		}
		next, err := ed.config.Reload()
		switch {
		case err != nil:
			if signalled || err.Error() != rejected {
				ed.config.Logger.Info("settings rejected, the former ones stay in force", "reason", err.Error())
			}
			rejected = err.Error()
		case signalled || next != current:
			rejected = ""
			ed.retryBudget.SetConfig(retryConfig(next))
			ed.grace.Store(int64(next.Grace))
			restart := next.CallerAddress != current.CallerAddress || next.StoreAddress != current.StoreAddress || next.PeerAddress != current.PeerAddress
			ed.config.Logger.Info("reload", "signalled", signalled, "changed", next != current, "addressesNeedRestart", restart,
				"grace", next.Grace.Seconds(), "retryRatio", next.RetryRatio, "retryHeadroom", next.RetryHeadroom)
			current = next
		}
	}
}
