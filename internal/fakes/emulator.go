package fakes

import (
	"net"
	"net/http"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// headerTimeout is the maximum time to read the header of a request.
const headerTimeout = 5 * time.Second

// Emulator runs the stand-ins of a deployment: the platform and one HTTP server for each endpoint.
type Emulator struct {
	// Log is the platform's log service.
	Log *Log
	// List is the platform's instance list.
	List *List
	// Runners are the model runners, in the order of the deployment.
	Runners []*Runner
	// Services are the endpoints of the plain service, in the order of the deployment.
	Services   []*Service
	deployment Deployment
	address    func(index int) string
	listen     func(address string) (net.Listener, error)
	servers    []*http.Server
	// handlers are the handlers of the endpoints, in the order of the deployment.
	handlers []http.Handler
}

// NewEmulator returns an emulator that has not started. The parameter address returns the address of the endpoint with a given index.
func NewEmulator(de Deployment, address func(index int) string) *Emulator {
	em := &Emulator{Log: NewLog(), List: NewList(), deployment: de, address: address}
	em.listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	for _, ep := range de.Endpoints {
		em.addEndpoint(ep)
	}
	return em
}

// WithNetwork sets the function that opens listeners; the default listens on TCP.
func (em *Emulator) WithNetwork(listen func(address string) (net.Listener, error)) *Emulator {
	em.listen = listen
	return em
}

// Ticket returns the example ticket of the deployment.
func (em *Emulator) Ticket() ticket.Ticket { return em.deployment.Ticket(em.address) }

func (em *Emulator) addEndpoint(ep EndpointSpec) {
	if ep.Service != "" {
		se := NewService(ServiceConfig{Name: ep.Name, Delay: serviceDelay, RestartAfter: restartAfter})
		em.Services = append(em.Services, se)
		em.handlers = append(em.handlers, se.Handler())
		return
	}
	ru := NewRunner(RunnerConfig{
		Name: ep.Name, Slots: modelSlots, TokenDelay: tokenDelay, PrefillPerBlock: prefillDelay,
		CacheBlocks: cacheBlocks, ReportLag: reportLag, RestartAfter: restartAfter,
	})
	em.Runners = append(em.Runners, ru)
	em.handlers = append(em.handlers, ru.Handler())
}

// Start starts to serve the endpoints, and the platform at the given address. It returns an error if it cannot listen on an address.
func (em *Emulator) Start(platform string) error {
	if err := em.serve(platform, NewPlatform(em.Log, em.List)); err != nil {
		return err
	}
	for ix, ha := range em.handlers {
		if err := em.serve(em.address(ix), ha); err != nil {
			em.Close()
			return err
		}
	}
	return nil
}

// Close stops every server.
func (em *Emulator) Close() {
	for _, se := range em.servers {
		_ = se.Close()
	}
}

func (em *Emulator) serve(address string, ha http.Handler) error {
	li, err := em.listen(address)
	if err != nil {
		return err
	}
	ls := &listeningServer{server: &http.Server{Handler: ha, ReadHeaderTimeout: headerTimeout}, listener: li}
	em.servers = append(em.servers, ls.server)
	go ls.run()
	return nil
}

// listeningServer is the HTTP server of one address.
type listeningServer struct {
	server   *http.Server
	listener net.Listener
}

func (ls *listeningServer) run() { _ = ls.server.Serve(ls.listener) }
