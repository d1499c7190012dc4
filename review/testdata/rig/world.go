package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// Names of the deployment.
const (
	host    = "weir.example"
	model   = "model"
	plain   = "plain"
	team    = "team-1"
	teamKey = "key-1"
)

// firstNodes is the number of machines with which the whole system starts for the first time.
const firstNodes = 4

// zones are the failure domains of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// record writes what happened to a file; it is safe for concurrent use.
type record struct {
	mu   sync.Mutex
	file *os.File
	at   time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, at: time.Now()}, err
}

// add writes one line with the time since the start.
func (re *record) add(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.file, "%8.3f s  %s\n", time.Since(re.at).Seconds(), fmt.Sprintf(format, args...))
}

// world is one small deployment: the store, the runners and the instances.
type world struct {
	rec      *record
	dir      string
	template string
	binary   string
	store    *stand.Store
	address  string
	runners  []*runner
	nodes    []*node
	closers  []func()
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) { return stand.FreeAddress() }

// newWorld starts a store with the configuration.
func newWorld(rec *record, root string, manifest []byte) (*world, error) {
	dir, err := os.MkdirTemp("", "weir-case-")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.ini"))
	if err != nil {
		return nil, err
	}
	wo := &world{rec: rec, dir: dir, template: string(template), binary: filepath.Join(root, "target", "clementineweir"), store: stand.NewStore()}
	wo.closers = append(wo.closers, func() { _ = os.RemoveAll(dir) })
	if wo.address, err = freeAddress(); err != nil {
		return nil, err
	}
	li, err := net.Listen("tcp", wo.address)
	if err != nil {
		return nil, err
	}
	se := &http.Server{Handler: wo.store, ReadHeaderTimeout: time.Second}
	wo.closers = append(wo.closers, func() { _ = se.Close() })
	go func() { _ = se.Serve(li) }()
	wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, manifest)
	return wo, nil
}

// close ends all processes and stand-ins.
func (wo *world) close() {
	for _, no := range wo.nodes {
		no.kill()
	}
	for _, ru := range wo.runners {
		ru.crash()
	}
	for ix := len(wo.closers) - 1; ix >= 0; ix-- {
		wo.closers[ix]()
	}
}

// node is one instance, run as a process.
type node struct {
	world                *world
	name, zone, settings string
	callers, ready, peer string
	// store is the address at which the instance reaches the store.
	store   string
	first   bool
	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	// killedAt is the time of the last kill, zero if there was none.
	killedAt time.Time
}

// stableTime is longer than the bound stable_ms of the deployments, together with the time of a start.
const stableTime = 6 * time.Second

// inTouch returns the instances that were not killed within stableTime.
func (wo *world) inTouch() []*node {
	var list []*node
	for _, no := range wo.nodes {
		no.mu.Lock()
		if time.Since(no.killedAt) > stableTime {
			list = append(list, no)
		}
		no.mu.Unlock()
	}
	return list
}

// disturb kills the process; the platform starts it again after downTime.
func (no *node) disturb() error {
	no.mu.Lock()
	no.killedAt = time.Now()
	no.mu.Unlock()
	no.kill()
	time.Sleep(downTime)
	return no.start()
}

// addNode starts an instance with the settings of a small deployment.
func (wo *world) addNode(ix int) error {
	no, err := wo.newNode(ix)
	if err != nil {
		return err
	}
	return no.start()
}

// newNode prepares an instance.
func (wo *world) newNode(ix int) (*node, error) {
	no := &node{store: wo.address, world: wo, name: fmt.Sprintf("edge-%d", ix+1), zone: zones[ix%len(zones)], first: ix < firstNodes}
	no.settings = filepath.Join(wo.dir, no.name+".ini")
	for _, to := range []*string{&no.callers, &no.ready, &no.peer} {
		var err error
		if *to, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	wo.nodes = append(wo.nodes, no)
	return no, nil
}

// writeSettings fills the template of the deploy folder, as the platform does at every start.
func (no *node) writeSettings() error {
	ip, port, err := net.SplitHostPort(no.peer)
	if err != nil {
		return err
	}
	values := map[string]string{
		"node_name": no.name, "zone": no.zone, "listeners_map.frontend": no.callers, "listeners_map.readiness": no.ready, "ip": ip, "internal_ports.0": port,
		"bootstrap": fmt.Sprint(no.first), "bounds.grace_s": "8", "limits.memory_mb": "544", "limits.cpu_quota": "0.8", "limits.link_mbps": "2000.0",
		"platform.address": no.store, "bounds.retry_ratio": "0.2", "bounds.retry_headroom": "52", "bounds.retry_window_s": "10",
	}
	text := no.world.template
	for name, val := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", val)
	}
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template has names that the case does not fill: %s", text)
	}
	return os.WriteFile(no.settings, []byte(text), 0o600)
}

// start runs the command of the deploy file with this instance's settings.
func (no *node) start() error {
	if err := no.writeSettings(); err != nil {
		return err
	}
	no.first = false
	log, err := os.OpenFile(filepath.Join(no.world.dir, no.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cm := exec.Command(no.world.binary, "edge", "--config", no.settings)
	cm.Stdout, cm.Stderr = log, log
	if err := cm.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	no.mu.Lock()
	no.process, no.ended = cm.Process, ended
	no.mu.Unlock()
	go func() {
		_ = cm.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (no *node) signal(sig syscall.Signal) {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.process != nil {
		_ = no.process.Signal(sig)
	}
}

// kill ends the process and waits for its end.
func (no *node) kill() {
	no.signal(syscall.SIGCONT)
	no.signal(syscall.SIGKILL)
	no.mu.Lock()
	ended := no.ended
	no.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// log returns what the process has written.
func (no *node) log() string {
	data, _ := os.ReadFile(filepath.Join(no.world.dir, no.name+".log"))
	return string(data)
}

// isReady reports whether the readiness check answers 200.
func (no *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	rs, err := client.Get("http://" + no.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (wo *world) awaitReady(limit time.Duration) error {
	for ends := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		count := 0
		for _, no := range wo.nodes {
			if no.isReady() {
				count++
			}
		}
		if count == len(wo.nodes) {
			return nil
		}
		if time.Now().After(ends) {
			return fmt.Errorf("%d of %d instances are ready after %s", count, len(wo.nodes), limit)
		}
	}
}
