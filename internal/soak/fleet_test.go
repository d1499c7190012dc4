package soak

import (
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
	tokensPerEvent  = 7
	hangTimeout     = 60 * time.Second
	eventInterval   = 5 * time.Millisecond
)

// node is one instance, run as a process with a settings file of its own.
type node struct {
	name          string
	settingsPath  string
	callerAddress string
	readyAddress  string
	// restarting serializes restarts; overlapping ones would leave a process behind.
	restarting sync.Mutex
	mu         sync.Mutex
	process    *os.Process
	ended      chan struct{}
	paused     bool
	log        *os.File
}

// world is a test cluster: a store, endpoints, instances, and the proxies between them.
type world struct {
	tt             *testing.T
	binary         string
	store          *stand.Store
	proxies        []*proxy
	modelEndpoints []*stand.Endpoint
	plainEndpoints []*stand.Endpoint
	nodes          []*node
	prepaid        int64
	version        int
	// port is the last port that was assigned to an instance.
	port int
}

func newWorld(tt *testing.T, count int, prepaid int64) *world {
	wo := &world{tt: tt, binary: filepath.Join(tt.TempDir(), "clementineweir"), store: stand.NewStore(), prepaid: prepaid}
	if out, err := exec.Command("go", "build", "-o", wo.binary, "../../cmd/clementineweir").CombinedOutput(); err != nil {
		tt.Fatalf("build: %s", out)
	}
	storeAddress := wo.serve(wo.store)
	for ix := range 3 {
		wo.modelEndpoints = append(wo.modelEndpoints, wo.endpoint("model", ix, eventsPerStream))
	}
	for ix := range 2 {
		wo.plainEndpoints = append(wo.plainEndpoints, wo.endpoint("plain", ix, 0))
	}
	wo.configure()
	for ix := range count {
		wo.addNode(fmt.Sprint("instance-", ix), wo.proxy(storeAddress))
	}
	tt.Cleanup(wo.killAll)
	return wo
}

func (wo *world) serve(handler http.Handler) string {
	se := httptest.NewServer(handler)
	wo.tt.Cleanup(se.CloseClientConnections)
	return strings.TrimPrefix(se.URL, "http://")
}

func (wo *world) proxy(target string) string {
	pr, err := newProxy(target)
	if err != nil {
		wo.tt.Fatal(err)
	}
	wo.proxies = append(wo.proxies, pr)
	return pr.address()
}

func (wo *world) endpoint(service string, ix, length int) *stand.Endpoint {
	id := fmt.Sprintf("%s-%d", service, ix)
	en := stand.NewEndpoint(stand.EndpointConfig{ID: id, Service: service, Domain: "zone-a", Slots: 32, Events: length, Pause: eventInterval})
	wo.store.Put(wire.RegistrationTopic, id, en.Registration(wo.proxy(wo.serve(en)), "ready", 1))
	return en
}

// configure writes the next version of the configuration to the store.
func (wo *world) configure() {
	wo.version++
	data := stand.Manifest{
		Version: wo.version, Host: host, TimeoutMs: callerTimeoutMillis, TargetMs: 500, Model: "model", Plain: "plain", Stride: tokensPerEvent,
		Team: "team-1", Key: teamKey, Prepaid: wo.prepaid,
		Routes: []stand.Route{
			{Name: "resume", Kind: "streaming", Service: "model", Sends: 2, Resume: true},
			{Name: "stream", Kind: "streaming", Service: "model", Sends: 1},
			{Name: "safe", Kind: "safe", Service: "plain", Sends: 2},
			{Name: "unsafe", Kind: "unsafe", Service: "plain", Sends: 1},
		},
	}.Encode()
	wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, data)
}

// freeAddress returns an address with a port below the ephemeral range. While an instance restarts, the kernel may give a port of that
// range to an outgoing connection (seeds 205, 221 and 248 with 7 instances: "bind: address already in use").
func (wo *world) freeAddress() string {
	const firstPort, lastPort = 15_000, 30_000
	for wo.port = max(wo.port, firstPort+os.Getpid()%1000*10) + 1; wo.port < lastPort; wo.port++ {
		address := fmt.Sprint("127.0.0.1:", wo.port)
		li, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = li.Close()
		return address
	}
	wo.tt.Fatal("no port is free")
	return ""
}

func (wo *world) addNode(name, storeAddress string) {
	dir := wo.tt.TempDir()
	no := &node{name: name, settingsPath: filepath.Join(dir, "settings.ini"), callerAddress: wo.freeAddress(), readyAddress: wo.freeAddress()}
	text := fmt.Sprintf("[instance]\nname = %s\ndomain = zone-a\ncallerAddress = %s\nreadyAddress = %s\npeerAddress = %s\ngrace = 3s\n"+
		"[store]\naddress = %s\n", name, no.callerAddress, no.readyAddress, wo.freeAddress(), storeAddress)
	if err := os.WriteFile(no.settingsPath, []byte(text), 0o600); err != nil {
		wo.tt.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		wo.tt.Fatal(err)
	}
	no.log = log
	wo.nodes = append(wo.nodes, no)
	wo.start(no)
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
		_ = no.process.Signal(sig)
	}
}

// restart stops the instance with a signal and starts it again.
func (wo *world) restart(no *node, sig syscall.Signal) {
	no.restarting.Lock()
	defer no.restarting.Unlock()
	no.signal(syscall.SIGCONT)
	no.signal(sig)
	select {
	case <-no.ended:
	case <-time.After(hangTimeout):
		wo.tt.Errorf("%s did not end after %s", no.name, sig)
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

// logEnd returns the last 4 KiB of the instance's log.
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
