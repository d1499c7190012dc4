package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// Names of the platform's topics.
const (
	operatorTopic = "keyed.op"
	serversTopic  = "keyed.servers"
)

// Bounds of the sheets of the two small installations, which the settings of the processes state.
const (
	graceSeconds     = 8
	drainTime        = 2 * time.Second
	configApply      = 2 * time.Second
	stableTime       = 3 * time.Second
	lossSlack        = 200 * time.Millisecond
	heartbeat        = 1200 * time.Millisecond
	readyTimeout     = 20 * time.Second
	templatePath     = "deploy/settings.ini"
	programPath      = "target/clementineweir"
	memoryMegabytes  = 284
	retryRatio       = "0.2"
	retryHeadroom    = "52"
	retryWindowSecs  = "10"
	processStopLimit = 15 * time.Second
)

// errHarness marks failures of the script itself; the case could not run.
var errHarness = errors.New("the case could not run")

// node is one instance, started with the command of the deploy file.
type node struct {
	name     string
	zone     string
	callers  string
	ready    string
	peers    string
	store    string
	settings string
	log      *os.File
	mu       sync.Mutex
	process  *os.Process
	ended    chan struct{}
}

// fleet is a store, runners and instances, all on loopback addresses.
type fleet struct {
	dir     string
	store   *stand.Store
	nodes   []*node
	runners []*runner
	servers []*http.Server
	record  *record
	// grace is grace_s in the settings of the instances.
	grace   int
	stop    chan struct{}
	stopped sync.Once
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, store: stand.NewStore(), record: rec, grace: graceSeconds, stop: make(chan struct{})}, nil
}

// serve starts an HTTP server on a free loopback address.
func (fl *fleet) serve(handler http.Handler) (string, error) {
	address, err := stand.FreeAddress()
	if err != nil {
		return "", err
	}
	li, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	se := &http.Server{Handler: handler}
	fl.servers = append(fl.servers, se)
	go func() { _ = se.Serve(li) }()
	return address, nil
}

// addRunner starts a runner at a free address, registers it and keeps it registered.
func (fl *fleet) addRunner(ru *runner) error {
	address, err := stand.FreeAddress()
	if err != nil {
		return err
	}
	return fl.startRunner(ru, address)
}

// startRunner is like addRunner, at a given address.
func (fl *fleet) startRunner(ru *runner, address string) error {
	li, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ru.server = &http.Server{Handler: ru}
	fl.servers = append(fl.servers, ru.server)
	go func() { _ = ru.server.Serve(li) }()
	ru.address = address
	ru.store = fl.store
	ru.born = time.Now().UnixMilli()
	ru.register()
	fl.runners = append(fl.runners, ru)
	go func() {
		ti := time.NewTicker(heartbeat)
		defer ti.Stop()
		for {
			select {
			case <-fl.stop:
				return
			case <-ti.C:
				ru.register()
			}
		}
	}()
	return nil
}

var placeholder = regexp.MustCompile(`\{\{[a-z0-9_.]+\}\}`)

// addNode writes the settings of an instance from the template of the deploy file and starts it. storeAddress is where it reaches the store.
func (fl *fleet) addNode(name, zone, storeAddress string) (*node, error) {
	no := &node{name: name, zone: zone, store: storeAddress, settings: filepath.Join(fl.dir, name+".ini")}
	for _, to := range []*string{&no.callers, &no.ready, &no.peers} {
		address, err := stand.FreeAddress()
		if err != nil {
			return nil, err
		}
		*to = address
	}
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	template = bytes.ReplaceAll(template, []byte("{{ip}}:{{internal_ports.0}}"), []byte(no.peers))
	values := map[string]string{
		"{{node_name}}": name, "{{zone}}": zone, "{{listeners_map.frontend}}": no.callers, "{{listeners_map.readiness}}": no.ready,
		"{{bootstrap}}": "true", "{{bounds.grace_s}}": fmt.Sprint(fl.grace), "{{limits.memory_mb}}": fmt.Sprint(memoryMegabytes),
		"{{platform.address}}": storeAddress, "{{bounds.retry_ratio}}": retryRatio, "{{bounds.retry_headroom}}": retryHeadroom,
		"{{bounds.retry_window_s}}": retryWindowSecs,
	}
	var missing error
	text := placeholder.ReplaceAllFunc(template, func(name []byte) []byte {
		val, ok := values[string(name)]
		if !ok {
			missing = fmt.Errorf("%w: the template has the unknown name %s", errHarness, name)
		}
		return []byte(val)
	})
	if missing != nil {
		return nil, missing
	}
	if err := os.WriteFile(no.settings, text, 0o600); err != nil {
		return nil, err
	}
	no.log, err = os.Create(filepath.Join(fl.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	fl.nodes = append(fl.nodes, no)
	return no, no.start()
}

// start starts the process of the instance with the command of the deploy file.
func (no *node) start() error {
	cm := exec.Command(programPath, "edge", "--config", no.settings)
	cm.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	cm.Stdout, cm.Stderr = no.log, no.log
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

func (no *node) signal(sig syscall.Signal) {
	no.mu.Lock()
	defer no.mu.Unlock()
	select {
	case <-no.ended:
	default:
		_ = no.process.Signal(sig)
	}
}

func (no *node) running() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	select {
	case <-no.ended:
		return false
	default:
		return true
	}
}

// waitReady waits until all instances are ready.
func (fl *fleet) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, no := range fl.nodes {
		for !no.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s was not ready in time", errHarness, no.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (no *node) isReady() bool {
	cl := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := cl.Get("http://" + no.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// close ends all processes and servers that the case started.
func (fl *fleet) close() {
	fl.stopped.Do(func() {
		close(fl.stop)
		for _, no := range fl.nodes {
			no.signal(syscall.SIGCONT)
			no.signal(syscall.SIGKILL)
			select {
			case <-no.ended:
			case <-time.After(processStopLimit):
			}
			_ = no.log.Close()
		}
		for _, se := range fl.servers {
			_ = se.Close()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(fl.dir)
		} else {
			fmt.Println("kept", fl.dir)
		}
	})
}

// putManifest writes a manifest as the operator does, and returns the time at which the store had accepted it.
func (fl *fleet) putManifest(manifest map[string]any) time.Time {
	data, _ := json.Marshal(manifest)
	fl.store.Put(operatorTopic, "config", data)
	return time.Now()
}

// limits are the limits that the users' examples of manifests state.
func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}
