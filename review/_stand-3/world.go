// Command stand-3 holds the stand-ins of the scripts review/12 to review/15: callers, endpoints and the platform's store, in front of instances that run as
// separate processes.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	host      = "service.example"
	key       = "key-of-team-1"
	team      = "team-1"
	heartbeat = 1200 * time.Millisecond
	// runLimit bounds the whole case.
	runLimit = 110 * time.Second
)

// world holds the processes and the stand-ins of one case.
type world struct {
	trouble bool
	dir     string
	began   time.Time
	mu      sync.Mutex
	record  *os.File
	away    bool
	store   *stand.Store
	address string
	nodes   []*node
	closers []func()
}

// newWorld starts the store. The record is written to the file; trouble is false if the case is to run without its disruption.
func newWorld(recordPath string, trouble bool) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	wo := &world{trouble: trouble, dir: dir, began: time.Now(), record: record, store: stand.NewStore()}
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wo.address = li.Addr().String()
	se := &http.Server{Handler: wo.store, ReadHeaderTimeout: time.Second}
	go func() { _ = se.Serve(li) }()
	wo.closers = append(wo.closers, func() { _ = se.Close() })
	time.AfterFunc(runLimit, func() { wo.abort("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		wo.abort("the case was stopped")
	}()
	return wo, nil
}

// abort ends the case before it has a result.
func (wo *world) abort(reason string) {
	wo.log("%s", reason)
	wo.close()
	os.Exit(exitNotRun)
}

// log writes a line with the time since the start to the record.
func (wo *world) log(format string, args ...any) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	_, _ = fmt.Fprintf(wo.record, "%7.3f s  %s\n", time.Since(wo.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (wo *world) close() {
	for _, no := range wo.nodes {
		no.kill()
	}
	for _, closer := range wo.closers {
		closer()
	}
	_ = os.RemoveAll(wo.dir)
	_ = wo.record.Sync()
}

// node is one instance of the project's program.
type node struct {
	world   *world
	name    string
	callers string
	ready   string
	values  map[string]string
	config  string
	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// addNode prepares an instance with the settings of a small deployment, as the template of the deploy file gives them.
func (wo *world) addNode(name, zone string) (*node, error) {
	var addresses [3]string
	for ix := range addresses {
		address, err := stand.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[ix] = address
	}
	no := &node{world: wo, name: name, callers: addresses[0], ready: addresses[1], config: filepath.Join(wo.dir, name+".ini")}
	ip, port, err := net.SplitHostPort(addresses[2])
	if err != nil {
		return nil, err
	}
	no.values = map[string]string{
		"node_name": name, "zone": zone, "listeners_map.frontend": no.callers, "listeners_map.readiness": no.ready, "ip": ip,
		"internal_ports.0": port, "bootstrap": "true", "bounds.grace_s": "8", "limits.memory_mb": "284", "limits.cpu_quota": "0",
		"limits.link_mbps": "1000", "platform.address": wo.address, "bounds.retry_ratio": "0.2", "bounds.retry_headroom": "52", "bounds.retry_window_s": "10",
	}
	wo.nodes = append(wo.nodes, no)
	return no, nil
}

// start starts the process with the command of the deploy file.
func (no *node) start() error {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return err
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.starts > 0 {
		no.values["bootstrap"] = "false"
	}
	no.starts++
	text := placeholder.ReplaceAllStringFunc(string(template), func(name string) string { return no.values[strings.Trim(name, "{}")] })
	if err := os.WriteFile(no.config, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(no.world.dir, no.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	co := exec.Command("target/clementineweir", "edge", "--config", no.config)
	co.Stdout, co.Stderr = output, output
	if err := co.Start(); err != nil {
		return err
	}
	no.process, no.exited = co, make(chan struct{})
	exited := no.exited
	go func() {
		err := co.Wait()
		_ = output.Close()
		no.world.log("%s has ended: %v", no.name, err)
		close(exited)
	}()
	no.world.log("%s started (process %d)", no.name, no.starts)
	return nil
}

// signal sends a signal to the process.
func (no *node) signal(sig syscall.Signal) {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.process == nil {
		return
	}
	no.world.log("%s gets %s", no.name, sig)
	_ = no.process.Process.Signal(sig)
}

// kill kills the process and waits for its end.
func (no *node) kill() {
	no.mu.Lock()
	co, exited := no.process, no.exited
	no.process = nil
	no.mu.Unlock()
	if co == nil {
		return
	}
	_ = co.Process.Kill()
	<-exited
}

// awaitReady waits until the instance is ready.
func (no *node) awaitReady() error {
	for range 200 {
		rs, err := http.Get("http://" + no.ready + "/readyz")
		if err == nil {
			_, _ = io.Copy(io.Discard, rs.Body)
			_ = rs.Body.Close()
			if rs.StatusCode == http.StatusOK {
				no.world.log("%s is ready", no.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New(no.name + " is not ready")
}

// startNodes starts a number of instances and waits until they are ready.
func (wo *world) startNodes(count int) error {
	for ix := range count {
		no, err := wo.addNode(fmt.Sprint("edge-", ix+1), fmt.Sprint("zone-", ix%2+1))
		if err != nil {
			return err
		}
		if err := no.start(); err != nil {
			return err
		}
	}
	for _, no := range wo.nodes {
		if err := no.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// run runs a case and returns its exit code.
func run(name, recordPath string, trouble bool) int {
	cases := map[string]func(*world) (bool, error){
		"copy":   copyCase,
		"topup":  topupCase,
		"resume": resumeCase,
		"drain":  drainCase,
	}
	ca, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	wo, err := newWorld(recordPath, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer wo.close()
	broken, err := ca(wo)
	switch {
	case err != nil:
		wo.log("the case could not run: %v", err)
		return exitNotRun
	case broken:
		wo.log("the rule was broken")
		return exitBroken
	}
	wo.log("the rule held")
	return exitHeld
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}
