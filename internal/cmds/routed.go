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
	// routedGrace is the maximum time for an instance to stop. The real platform allows the same time.
	routedGrace    = 8 * time.Second
	routedMemoryMB = 256
)

// routedManifest returns the example configuration, with streaming, safe and unsafe routes.
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

// routedSettings returns the settings of one instance for routed services.
func (la layout) routedSettings(index int) config.Edge {
	return config.Edge{
		Name: fmt.Sprintf("entry-%d", index+1), Domain: fakes.Domains[index%len(fakes.Domains)],
		CallerAddress: la.address(0, index), ReadyAddress: la.address(operatorPorts, index), PeerAddress: la.address(peerPorts, index),
		StoreAddress: la.address(platformPort, 0), FirstStart: true, Grace: routedGrace,
		RetryRatio: 0.2, RetryHeadroom: 50, RetryWindow: 10 * time.Second, BytePrice: 60, MemoryMegabytes: routedMemoryMB,
	}
}

// runRoutedDev runs a development set-up in this one process: stand-ins of the platform, and instances of the proxy for routed HTTP services
// that use them.
func runRoutedDev(ctx context.Context, cm *cli.Command, la layout) error {
	si, err := startRoutedStandIns(la)
	if err != nil {
		return err
	}
	// Runs after the instances have stopped, since they settle their grants in the store.
	defer si.close()
	sink := logs.NewSink(os.Stderr)
	lctx, stopLogs := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLogs()
	go sink.Run(lctx)
	var gr run.Group
	instances := make([]*edge.Edge, 0, la.instances)
	for ix := range la.instances {
		ed := newEdge(la.routedSettings(ix), sink, nil)
		instances = append(instances, ed)
		ictx, cancel := context.WithCancel(ctx)
		gr.Add(func() error { return ed.Run(ictx) }, func(error) { cancel() })
	}
	gctx, stop := context.WithCancel(ctx)
	gr.Add(func() error { return printRoutedWelcome(gctx, cm, la, instances) }, func(error) { stop() })
	return gr.Run()
}

// standIns holds the HTTP servers that stand in for the platform and the endpoints.
type standIns struct {
	servers []*http.Server
}

// startRoutedStandIns starts the store and the endpoints, and writes the configuration and the registrations to the store.
func startRoutedStandIns(la layout) (*standIns, error) {
	si, st := &standIns{}, stand.NewStore()
	if err := si.start(la.address(platformPort, 0), st); err != nil {
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
		address := la.address(endpointPorts, ix)
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
		return exitErrorf(ExitFailed, "a port is in use; choose another --base-port: %s", err)
	}
	se := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, DisableGeneralOptionsHandler: true}
	si.servers = append(si.servers, se)
	go si.run(se, li)
	return nil
}

// run serves until the stand-ins are closed.
func (si *standIns) run(se *http.Server, li net.Listener) {
	if err := se.Serve(li); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintf(os.Stderr, "the stand-in on %s stopped: %s\n", li.Addr(), err)
	}
}

func (si *standIns) close() {
	for _, se := range si.servers {
		_ = se.Close()
	}
}

// printRoutedWelcome waits until every instance is ready, prints the addresses and example calls, and then waits for the
// context to end.
func printRoutedWelcome(ctx context.Context, cm *cli.Command, la layout, instances []*edge.Edge) error {
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
	err := printLine(cm, text, len(instances), la.address(0, 0), la.address(operatorPorts, 0),
		stream.Curl("http://"+la.address(0, 0)+"/review/1", routedHost, "the dossier"),
		plain.Curl("http://"+la.address(0, 1%la.instances)+"/payment/77", routedHost, "5"))
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
