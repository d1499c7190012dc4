package cmds

import (
	"context"
	"errors"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/daemon"
	"github.com/clementineweir/clementineweir/internal/edge"
	"github.com/clementineweir/clementineweir/internal/logs"
	"github.com/clementineweir/clementineweir/pkg/quota"
	"github.com/clementineweir/clementineweir/platform/store"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	// grantTopic is the topic of the platform's store that holds the grants of the instances.
	grantTopic = "keyed.weir"
	// originTopic is the topic of the platform's store that holds the origins of streams.
	originTopic = "weir-origins"
	// memoryPercent is the Go memory limit in percent of the allowed memory. Near the limit, garbage is collected more often.
	memoryPercent = 60
	megabyte      = 1 << 20
	// gcPercent is the growth of the heap from one collection to the next, in percent. The heap of an instance is small against its memory; near the memory
	// limit, garbage is collected more often. With 300 instead of the usual 100, a request takes about 6 in 100 less processor time.
	gcPercent = 300
)

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "run one instance for routed services on the users' platform; SIGTERM drains and stops it",
		Flags: []cli.Flag{&cli.StringFlag{Name: "config", Usage: "settings file", Required: true}},
		Action: func(ctx context.Context, cm *cli.Command) error {
			se, err := config.LoadEdge(cm.String("config"))
			var ps config.Problems
			if errors.As(err, &ps) {
				return exitErrorf(ExitInvalid, "the settings in %s have %d mistakes:\n%s", cm.String("config"), len(ps), ps.Error())
			}
			if err != nil {
				return exitErrorf(ExitUsage, "the settings cannot be read: %s", err)
			}
			return runEdge(ctx, se, cm.String("config"))
		},
	}
}

func runEdge(ctx context.Context, se config.Edge, path string) error {
	debug.SetMemoryLimit(se.MemoryMegabytes * megabyte * memoryPercent / 100)
	debug.SetGCPercent(gcPercent)
	limitThreads(se.CPUCores)
	sink := logs.NewSink(os.Stdout)
	lctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		sink.Run(lctx)
	}()
	ed := newEdge(se, sink, func() (config.Edge, error) { return config.LoadEdge(path) })
	err := ed.Run(ctx)
	stop()
	<-written
	if err != nil {
		return exitErrorf(ExitFailed, "the instance %s stopped: %s", se.Name, err)
	}
	return nil
}

// limitThreads runs Go code on no more threads than the process may use cores, if that is known. Further threads only take processor time for handing
// goroutines over: a request through an instance, its caller and its endpoint in one process took 430 µs of processor time on 7 threads, 335 µs on 2 and 275 µs on 1.
func limitThreads(cores float64) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, min(runtime.GOMAXPROCS(0), int(math.Ceil(cores)))))
	}
}

// newEdge returns an instance that speaks the platform's protocol; reload reads the settings again, or is nil if they never change.
func newEdge(se config.Edge, sink *logs.Sink, reload func() (config.Edge, error)) *edge.Edge {
	started := time.Now()
	cl := store.NewClient(se.StoreAddress)
	return edge.New(edge.Config{
		Settings: se,
		Platform: edge.Platform{
			Topic: cl.Topic, Configuration: wire.OperatorTopic, ConfigurationKey: wire.ConfigurationKey,
			Endpoints: wire.RegistrationTopic, Grants: grantTopic, Log: cl.Log, Origins: originTopic,
			Protocol: wire.Protocol{}, DecodePlan: wire.DecodePlan, DecodeEndpoint: wire.DecodeEndpoint,
		},
		Clock:  func() time.Duration { return time.Since(started) + 1 },
		Stamp:  func() quota.Stamp { return quota.Stamp{Wall: time.Now(), Boot: daemon.BootTime()} },
		Reload: reload, Logger: sink.Logger(), Dropped: sink.Dropped,
	})
}
