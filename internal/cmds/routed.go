package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/oklog/run"
	"github.com/urfave/cli/v3"

	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/edge"
	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/internal/logs"
	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// The example deployment of routed services.
const (
	routedHost           = "service.example"
	routedKey            = "key-team-1"
	routedTeam           = "team-1"
	routedModelEndpoints = 6
	routedPlainEndpoints = 2
	routedPrepaid        = 10_000_000
	routedEvents         = 20
	routedStride         = 4
	routedEventGap       = 20 * time.Millisecond
	// routedGrace is how long an instance may take to stop, as on the users' platform.
	routedGrace    = 8 * time.Second
	routedMemoryMB = 256
)

// routedManifest is the configuration in force, with one route of each kind.
func routedManifest() []byte {
	return stand.Manifest{
		Version: 1, Host: routedHost, TimeoutMs: 12_000, TargetMs: 800, Model: "model", Plain: "plain", Stride: routedStride,
		Team: routedTeam, Key: routedKey, Prepaid: routedPrepaid,
		Routes: []stand.Route{
			{Name: "review", Kind: "streaming", Service: "model", Sends: 2, Resume: true},
			{Name: "question", Kind: "streaming", Service: "model", Sends: 1},
			{Name: "status", Kind: "safe", Service: "plain", Sends: 2},
			{Name: "payment", Kind: "unsafe", Service: "plain", Sends: 1},
		},
	}.Encode()
}

// routedSettings are the settings of one instance in front of routed services.
func (pl layout) routedSettings(index int) config.Edge {
	return config.Edge{
		Name: fmt.Sprintf("entry-%d", index+1), Domain: fakes.Domains[index%len(fakes.Domains)],
		CallerAddress: pl.address(0, index), ReadyAddress: pl.address(operatorPorts, index), PeerAddress: pl.address(peerPorts, index),
		StoreAddress: pl.address(platformPort, 0), Grace: routedGrace,
		RetryRatio: 0.2, RetryHeadroom: 50, RetryWindow: 10 * time.Second, MemoryMegabytes: routedMemoryMB,
	}
}

// runRoutedDev runs instances for routed services on stand-ins of the platform, in this process.
func runRoutedDev(ctx context.Context, cm *cli.Command, pl layout) error {
	si, err := startRoutedStandIns(pl)
	if err != nil {
		return err
	}
	// The instances settle their grants in the store before it ends.
	defer si.close()
	sink := logs.NewSink(os.Stderr)
	lctx, stopLogs := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLogs()
	go sink.Run(lctx)
	var gr run.Group
	instances := make([]*edge.Edge, 0, pl.instances)
	for ix := range pl.instances {
		ed := newEdge(pl.routedSettings(ix), sink, nil)
		instances = append(instances, ed)
		ictx, cancel := context.WithCancel(ctx)
		gr.Add(func() error { return ed.Run(ictx) }, func(error) { cancel() })
	}
	gctx, stop := context.WithCancel(ctx)
	gr.Add(func() error { return printRoutedWelcome(gctx, cm, pl, instances) }, func(error) { stop() })
	return gr.Run()
}

// standIns are the servers of the platform and the endpoints.
type standIns struct {
	servers []*http.Server
}

// startRoutedStandIns starts the store and the endpoints, and puts configuration and registrations in force.
func startRoutedStandIns(pl layout) (*standIns, error) {
	si, st := &standIns{}, stand.NewStore()
	if err := si.start(pl.address(platformPort, 0), st); err != nil {
		return nil, err
	}
	st.Put(wire.OperatorTopic, wire.ConfigurationKey, routedManifest())
	for ix := range routedModelEndpoints + routedPlainEndpoints {
		ec := stand.EndpointConfig{
			ID: fmt.Sprintf("model-%d", ix+1), Service: "model", Domain: fakes.Domains[ix%len(fakes.Domains)], Slots: 16,
			Events: routedEvents, Pause: routedEventGap,
		}
		if ix >= routedModelEndpoints {
			ec.ID, ec.Service, ec.Events = fmt.Sprintf("plain-%d", ix-routedModelEndpoints+1), "plain", 0
		}
		en := stand.NewEndpoint(ec)
		address := pl.address(endpointPorts, ix)
		if err := si.start(address, en); err != nil {
			si.close()
			return nil, err
		}
		st.Put(wire.RegistrationTopic, ec.ID, en.Registration(address, "ready", 1))
	}
	return si, nil
}

func (si *standIns) start(address string, handler http.Handler) error {
	li, err := net.Listen("tcp", address)
	if err != nil {
		return exitErrorf(ExitFailed, "a port is taken, so choose another --base-port: %s", err)
	}
	se := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	si.servers = append(si.servers, se)
	go si.run(se, li)
	return nil
}

// run serves until the stand-ins are closed.
func (si *standIns) run(se *http.Server, li net.Listener) {
	if err := se.Serve(li); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintf(os.Stderr, "the stand-in on %s ended: %s\n", li.Addr(), err)
	}
}

func (si *standIns) close() {
	for _, se := range si.servers {
		_ = se.Close()
	}
}

// printRoutedWelcome prints what to try once every instance is ready, and waits for the end.
func printRoutedWelcome(ctx context.Context, cm *cli.Command, pl layout, instances []*edge.Edge) error {
	for _, ed := range instances {
		for !ed.Ready() {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(readyPoll):
			}
		}
	}
	stream := stand.Call{ID: "try-1", Key: routedKey, PatienceMs: 12_000, Prompt: 1200, Output: routedEvents * routedStride}
	plain := stand.Call{ID: "try-2", Key: routedKey, PatienceMs: 1000}
	text := `%d instances for routed services on http://%s and the next ports; readiness and metrics on http://%s and the next ports.
Try a stream of a model, and a call that runs at most once:

  %s
  %s

Stop with Ctrl-C.`
	err := printLine(cm, text, len(instances), pl.address(0, 0), pl.address(operatorPorts, 0),
		stream.Curl("http://"+pl.address(0, 0)+"/review/1", routedHost, "the dossier"),
		plain.Curl("http://"+pl.address(0, 1%pl.instances)+"/payment/77", routedHost, "5"))
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
