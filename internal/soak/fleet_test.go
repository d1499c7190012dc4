package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	host            = "service.example"
	teamKey         = "key-1"
	eventsPerStream = 8
	// tokensPerEvent is the number of output tokens that one event of a stream costs.
	tokensPerEvent = 7
	// hangTimeout is the maximum time for an instance to start or stop.
	hangTimeout = 60 * time.Second
	// eventInterval is the time before each event of a stream.
	eventInterval = 5 * time.Millisecond
)

// node is one instance, run as a process with a settings file of its own.
type node struct {
	name         string
	settingsPath string
	// callerAddress is the address to which callers send their requests.
	callerAddress string
	// readyAddress is the address of the instance's readiness check.
	readyAddress string
	// peerAddress is the address for other instances, and storeAddress the one at which the node reaches the store.
	peerAddress, storeAddress string
	// storeProxy is the proxy between the node and the store.
	storeProxy *proxy
	// links are the node's own links to the endpoints, by the address at which an endpoint is registered.
	linksMu sync.Mutex
	links   map[string]*stand.Link
	// restarting serializes restarts; two restarts at the same time would leave a process running that no node refers to.
	restarting sync.Mutex
	mu         sync.Mutex
	process    *os.Process
	// ended is closed when the current process has ended; each start replaces it.
	ended  chan struct{}
	paused bool
	// disturbedAt holds the times of starts and signals.
	disturbedAt []time.Time
	// log is the file that receives the log messages of the process.
	log *os.File
}

// world is a test cluster: a store, endpoints, instances, and the proxies between them.
type world struct {
	tt     *testing.T
	binary string
	store  *stand.Store
	// proxies are all proxies: those between the instances and the endpoints, and those between the instances and the store.
	proxies []*proxy
	// faultProxies are those in which inject injects faults.
	faultProxies   []*proxy
	modelEndpoints []*stand.Endpoint
	plainEndpoints []*stand.Endpoint
	// brittleEndpoint is a model endpoint with few slots that is brittle during the whole soak; see makeBrittle.
	brittleEndpoint *stand.Endpoint
	// leaver is a model endpoint that leaves now and then.
	leaver *leaver
	// addresses holds the address of each endpoint's proxy.
	addresses map[*stand.Endpoint]string
	// replaced is the number of endpoints that were replaced by others.
	replaced int
	nodes    []*node
	// storeTarget is the address of the store for the nodes that are added; empty means the stand-in.
	storeTarget string
	// grace is the grace period of the nodes that are added, and timeout the timeout of all routes.
	grace, timeout time.Duration
	// prepaid is the number of tokens that the team has prepaid so far, version the version of the configuration.
	prepaid int64
	version int
	// bodyBytes is the largest request body, zero for that of the stand-in.
	bodyBytes int
}

func newWorld(tt *testing.T, count int, prepaid int64) *world {
	wo := &world{tt: tt, binary: filepath.Join(tt.TempDir(), "clementineweir"), store: stand.NewStore(), prepaid: prepaid, addresses: map[*stand.Endpoint]string{}}
	wo.grace, wo.timeout = 3*time.Second, callerTimeoutMillis*time.Millisecond
	if out, err := exec.Command("go", "build", "-o", wo.binary, "../../cmd/clementineweir").CombinedOutput(); err != nil {
		tt.Fatalf("go build of clementineweir failed: %s", out)
	}
	for ix := range firstModels {
		wo.modelEndpoints = append(wo.modelEndpoints, wo.endpoint("model", ix, eventsPerStream))
	}
	for ix := range 2 {
		wo.plainEndpoints = append(wo.plainEndpoints, wo.endpoint("plain", ix, 0))
	}
	wo.configure()
	for ix := range count {
		wo.addNode(fmt.Sprint("instance-", ix))
	}
	wo.faultProxies = wo.proxies
	for ix := range moreModels {
		wo.modelEndpoints = append(wo.modelEndpoints, wo.endpoint("model", firstModels+ix, eventsPerStream))
	}
	wo.makeBrittle()
	wo.makeLeaver()
	tt.Cleanup(wo.killAll)
	return wo
}

// serve starts an HTTP server and returns its address.
func (wo *world) serve(handler http.Handler) string {
	se := httptest.NewUnstartedServer(handler)
	_ = se.Listener.Close()
	li, err := net.Listen("tcp", stand.Loopback()+":0")
	if err != nil {
		wo.tt.Fatal(err)
	}
	se.Listener = li
	// Endpoints that are down must not answer probes.
	se.Config.DisableGeneralOptionsHandler = true
	se.Start()
	wo.tt.Cleanup(se.CloseClientConnections)
	return strings.TrimPrefix(se.URL, "http://")
}

// proxy starts a proxy in front of the target and returns its address.
func (wo *world) proxy(target string) string {
	pr, err := newProxy(target)
	if err != nil {
		wo.tt.Fatal(err)
	}
	wo.proxies = append(wo.proxies, pr)
	return pr.address()
}

// endpoint starts an endpoint behind a proxy and registers it. length is the number of events in its streams; zero means no streams.
func (wo *world) endpoint(service string, ix, length int) *stand.Endpoint {
	id := fmt.Sprintf("%s-%d", service, ix)
	return wo.register(stand.EndpointConfig{
		ID: id, Service: service, Domain: "zone-a", Slots: 32, Events: length, Pause: eventInterval, CrashPart: crashPart, RestartTime: crashTime,
		Version: versions[ix%len(versions)],
	})
}

// register starts an endpoint behind a proxy and registers it.
func (wo *world) register(ec stand.EndpointConfig) *stand.Endpoint {
	en := stand.NewEndpoint(ec)
	wo.addresses[en] = wo.proxy(wo.serve(en))
	for _, no := range wo.nodes {
		wo.link(no, wo.addresses[en])
	}
	wo.store.Put(wire.RegistrationTopic, ec.ID, en.Registration(wo.addresses[en], "ready", 1))
	return en
}

// configure writes the next version of the configuration to the store.
func (wo *world) configure() {
	wo.version++
	data := stand.Manifest{
		Version: wo.version, Host: host, TimeoutMs: int(wo.timeout.Milliseconds()), TargetMs: 500, Model: "model", Plain: "plain", Stride: tokensPerEvent,
		Team: "team-1", Key: teamKey, Prepaid: wo.prepaid, MaxBodyBytes: wo.bodyBytes,
		Routes: []stand.Route{
			{Name: "resume", Kind: "streaming", Service: "model", Sends: 2, Resume: true},
			{Name: "stream", Kind: "streaming", Service: "model", Sends: 1},
			{Name: "safe", Kind: "safe", Service: "plain", Sends: 2},
			{Name: "unsafe", Kind: "unsafe", Service: "plain", Sends: 1},
			{Name: "long", Kind: "streaming", Service: "model", Sends: 1, TimeoutMs: longTimeoutMillis},
		},
	}.Encode()
	wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, data)
}

// freeAddress returns an address with a free port. With a port of the ephemeral range, the kernel could assign the port to an outgoing connection
// while the instance restarts; the instance then failed with "bind: address already in use" (seeds 205, 221 and 248 with 7 instances).
func (wo *world) freeAddress() string {
	address, err := stand.FreeAddress()
	if err != nil {
		wo.tt.Fatal(err)
	}
	return address
}

// link gives a node a link of its own to an endpoint.
func (wo *world) link(no *node, address string) {
	ln, err := stand.NewLink(address)
	if err != nil {
		wo.tt.Fatal(err)
	}
	no.linksMu.Lock()
	defer no.linksMu.Unlock()
	no.links[address] = ln
}

// translate replaces the addresses of endpoints by those of the node's own links to them.
func (no *node) translate(value []byte) []byte {
	no.linksMu.Lock()
	defer no.linksMu.Unlock()
	for address, ln := range no.links {
		value = bytes.ReplaceAll(value, []byte(address), []byte(ln.Address()))
	}
	return value
}

// cut cuts the node off from all endpoints, or ends a cut.
func (wo *world) cut(no *node, cut stand.Cut) {
	no.linksMu.Lock()
	defer no.linksMu.Unlock()
	for _, ln := range no.links {
		if err := ln.SetCut(cut); err != nil {
			wo.tt.Error(err)
		}
	}
}

// addNode writes the settings of a new instance and starts it.
func (wo *world) addNode(name string) {
	dir := wo.tt.TempDir()
	no := &node{links: map[string]*stand.Link{}, name: name, settingsPath: filepath.Join(dir, "settings.ini"), callerAddress: wo.freeAddress(), readyAddress: wo.freeAddress()}
	for _, address := range wo.addresses {
		wo.link(no, address)
	}
	storeTarget := wo.storeTarget
	if storeTarget == "" {
		storeTarget = wo.serve(wo.store.Translated(no.translate))
	}
	storeAddress := wo.proxy(storeTarget)
	no.storeProxy = wo.proxies[len(wo.proxies)-1]
	no.storeAddress, no.peerAddress = storeAddress, wo.freeAddress()
	wo.writeSettings(no)
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		wo.tt.Fatal(err)
	}
	no.log = log
	wo.nodes = append(wo.nodes, no)
	wo.start(no)
}

// writeSettings writes the settings file of a node.
func (wo *world) writeSettings(no *node) {
	text := fmt.Sprintf("[instance]\nname = %s\ndomain = zone-a\ncallerAddress = %s\nreadyAddress = %s\npeerAddress = %s\ngrace = %s\n"+
		"[store]\naddress = %s\n", no.name, no.callerAddress, no.readyAddress, no.peerAddress, wo.grace, no.storeAddress)
	if err := os.WriteFile(no.settingsPath, []byte(text), 0o600); err != nil {
		wo.tt.Fatal(err)
	}
}

func (wo *world) start(no *node) {
	cm := exec.Command(wo.binary, "edge", "--config", no.settingsPath)
	cm.Stdout, cm.Stderr = no.log, no.log
	if err := cm.Start(); err != nil {
		wo.tt.Fatal(err)
	}
	ended := make(chan struct{})
	no.mu.Lock()
	no.process, no.ended, no.paused = cm.Process, ended, false
	no.disturbedAt = append(no.disturbedAt, time.Now())
	no.mu.Unlock()
	go func() {
		_ = cm.Wait()
		close(ended)
	}()
}

// signal sends a signal to the instance's process unless it has ended.
func (no *node) signal(sig syscall.Signal) {
	no.mu.Lock()
	defer no.mu.Unlock()
	select {
	case <-no.ended:
	default:
		no.disturbedAt = append(no.disturbedAt, time.Now())
		_ = no.process.Signal(sig)
	}
}

// restart sends a signal that stops the instance, waits until it has ended and starts it again.
func (wo *world) restart(no *node, sig syscall.Signal) {
	no.restarting.Lock()
	defer no.restarting.Unlock()
	no.signal(syscall.SIGCONT)
	no.signal(sig)
	select {
	case <-no.ended:
	case <-time.After(hangTimeout):
		wo.tt.Errorf("instance %s did not end within a minute of the signal %s", no.name, sig)
		no.signal(syscall.SIGKILL)
		<-no.ended
	}
	wo.start(no)
}

func (wo *world) killAll() {
	for _, no := range wo.nodes {
		no.signal(syscall.SIGCONT)
		no.signal(syscall.SIGKILL)
		<-no.ended
	}
}

// logEnd returns the last 4 KiB of the instance's log messages.
func (no *node) logEnd() string {
	const maxBytes = 4 << 10
	data, err := os.ReadFile(no.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-maxBytes):])
}

func (no *node) isReady() bool {
	rs, err := http.Get("http://" + no.readyAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}
