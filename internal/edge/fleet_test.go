package edge_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/edge"
	"github.com/clementineweir/clementineweir/pkg/quota"
	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/store"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	testHost   = "service.example"
	testKey    = "key-1"
	testTeam   = "team-1"
	testEvents = 6
	testStride = 7
	// awaitTimeout is the maximum time that a test waits for a condition.
	awaitTimeout = 20 * time.Second
)

// fleet is a set of stand-in endpoints and instances around one stand-in store, on the loopback interface.
type fleet struct {
	tt       testing.TB
	store    *stand.Store
	storeURL string
	models   []*stand.Endpoint
	plains   []*stand.Endpoint
	// addresses holds the address of each endpoint by its ID.
	addresses map[string]string
	instances []*instance
}

// instance is one running instance of the proxy.
type instance struct {
	edge     *edge.Edge
	settings config.Edge
	stop     context.CancelFunc
	done     chan error
}

type fleetConfig struct {
	instances int
	prepaid   int64
	// versions are the software versions of the model endpoints; empty means three of the same version.
	versions []string
	// pause is the time before each event of a stream, and slots the number of slots of the model endpoints; zero means none and 32.
	pause time.Duration
	slots int
}

// manifest returns an operator's configuration with one route of each kind.
func manifest(version int, prepaid int64) []byte {
	return stand.Manifest{
		Version: version, Host: testHost, TimeoutMs: 15_000, TargetMs: 2000, Model: "model", Plain: "plain", Stride: testStride,
		Team: testTeam, Key: testKey, Prepaid: prepaid,
		Routes: []stand.Route{
			{Name: "resume", Kind: "streaming", Service: "model", Sends: 2, Resume: true},
			{Name: "stream", Kind: "streaming", Service: "model", Sends: 1},
			{Name: "safe", Kind: "safe", Service: "plain", Sends: 2},
			{Name: "unsafe", Kind: "unsafe", Service: "plain", Sends: 1},
		},
	}.Encode()
}

func newFleet(tt testing.TB, fc fleetConfig) *fleet {
	fl := &fleet{tt: tt, store: stand.NewStore(), addresses: map[string]string{}}
	fl.storeURL = fl.listen(fl.store)
	if len(fc.versions) == 0 {
		fc.versions = []string{"v1", "v1", "v1"}
	}
	for ix, version := range fc.versions {
		id := fmt.Sprint("model-", ix)
		fl.models = append(fl.models, fl.addEndpoint(id, stand.EndpointConfig{
			ID: id, Service: "model", Domain: "zone-a", Slots: cmp.Or(fc.slots, 32), Events: testEvents, Version: version, Pause: fc.pause, RestartTime: 2 * time.Second,
		}))
	}
	for ix := range 2 {
		id := fmt.Sprint("plain-", ix)
		fl.plains = append(fl.plains, fl.addEndpoint(id, stand.EndpointConfig{ID: id, Service: "plain", Domain: "zone-a", Slots: 6}))
	}
	fl.store.Put(wire.OperatorTopic, wire.ConfigurationKey, manifest(1, fc.prepaid))
	for ix := range fc.instances {
		fl.start(fmt.Sprint("instance-", ix))
	}
	for _, in := range fl.instances {
		fl.await("the instance is ready", in.edge.Ready)
		fl.await("the instance holds tokens", func() bool { return in.balance().Granted > 0 })
	}
	return fl
}

func (in *instance) balance() quota.Balance { return in.edge.TeamBalance(testTeam) }

// listen runs a server on the loopback interface until the end of the test and returns its address.
func (fl *fleet) listen(handler http.Handler) string {
	se := httptest.NewUnstartedServer(handler)
	se.Config.DisableGeneralOptionsHandler = true
	se.Start()
	fl.tt.Cleanup(se.CloseClientConnections)
	return strings.TrimPrefix(se.URL, "http://")
}

func (fl *fleet) addEndpoint(id string, ec stand.EndpointConfig) *stand.Endpoint {
	en := stand.NewEndpoint(ec)
	fl.addresses[id] = fl.listen(en)
	fl.store.Put(wire.RegistrationTopic, id, en.Registration(fl.addresses[id], "ready", 1))
	return en
}

// freeAddress returns a loopback address with an unused port.
func (fl *fleet) freeAddress() string {
	address, err := stand.FreeAddress()
	if err != nil {
		fl.tt.Fatal(err)
	}
	return address
}

func (fl *fleet) start(name string) *instance { return fl.startLimited(name, 0, 0) }

// startLimited starts an instance that may use so many cores and a link of so many megabits a second; zero means that no limit is known.
func (fl *fleet) startLimited(name string, cores, megabits float64) *instance {
	se := config.Edge{
		Name: name, Domain: "zone-a", CallerAddress: fl.freeAddress(), ReadyAddress: fl.freeAddress(), PeerAddress: fl.freeAddress(),
		StoreAddress: fl.storeURL, FirstStart: !fl.started(name), Grace: 8 * time.Second, RetryRatio: 0.2, RetryHeadroom: 50, RetryWindow: 10 * time.Second,
		MemoryMegabytes: 256, CPUCores: cores, LinkMegabits: megabits,
	}
	return fl.run(se)
}

// started reports whether an instance of that name was started before.
func (fl *fleet) started(name string) bool {
	return slices.ContainsFunc(fl.instances, func(in *instance) bool { return in.settings.Name == name })
}

func (fl *fleet) run(se config.Edge) *instance {
	begun := time.Now()
	cl := store.NewClient(se.StoreAddress)
	in := &instance{settings: se, done: make(chan error, 1)}
	in.edge = edge.New(edge.Config{
		Settings: se,
		Platform: edge.Platform{
			Topic: cl.Topic, Configuration: wire.OperatorTopic,
			ConfigurationKey: wire.ConfigurationKey, Endpoints: wire.RegistrationTopic, Grants: "keyed.weir", Log: cl.Log, Origins: "weir-origins",
			Protocol: wire.Protocol{}, DecodePlan: wire.DecodePlan, DecodeEndpoint: wire.DecodeEndpoint,
		},
		Clock:  func() time.Duration { return time.Since(begun) + 1 },
		Stamp:  func() quota.Stamp { return quota.Stamp{Wall: time.Now(), Boot: time.Duration(time.Now().UnixNano())} },
		Logger: logr.Discard(), Dropped: func() int64 { return 0 },
	})
	ctx, stop := context.WithCancel(context.Background())
	in.stop = stop
	go func() { in.done <- in.edge.Run(ctx) }()
	fl.instances = append(fl.instances, in)
	return in
}

func (fl *fleet) await(what string, holds func() bool) {
	fl.tt.Helper()
	ends := time.Now().Add(awaitTimeout)
	for !holds() {
		if time.Now().After(ends) {
			fl.tt.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// response is a response as the caller received it; it is empty if there was none.
type response struct {
	Status int
	Body   string
	// Complete reports whether the body ended properly.
	Complete bool
	// RetryAfter is the header Retry-After.
	RetryAfter string
}

// request describes one request of a caller; header holds additional headers.
type request struct {
	id     string
	route  string
	key    string
	body   string
	prompt int64
	output int64
	// parts are the hexadecimal IDs of the prompt's parts, or empty for those of stand.Call.
	parts  []string
	header map[string]string
}

func (fl *fleet) build(in *instance, rq request) *http.Request {
	method := http.MethodPost
	if rq.route == "safe" {
		method = http.MethodGet
	}
	hr, err := http.NewRequest(method, "http://"+in.settings.CallerAddress+"/"+rq.route+"/x?q=1", strings.NewReader(rq.body))
	if err != nil {
		fl.tt.Fatal(err)
	}
	hr.Host = testHost
	stand.Call{ID: rq.id, Key: rq.key, PatienceMs: 12_000, Prompt: rq.prompt, Output: rq.output, Parts: rq.parts}.Set(hr.Header)
	for name, val := range rq.header {
		hr.Header.Set(name, val)
	}
	return hr
}

func (fl *fleet) send(in *instance, rq request) response {
	rs, err := http.DefaultTransport.RoundTrip(fl.build(in, rq))
	if err != nil {
		return response{}
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	return response{Status: rs.StatusCode, Body: string(data), Complete: err == nil, RetryAfter: rs.Header.Get("Retry-After")}
}

// runsOf returns the runs of a request on all endpoints.
func (fl *fleet) runsOf(id string) []stand.Run {
	var list []stand.Run
	for _, en := range append(append([]*stand.Endpoint{}, fl.models...), fl.plains...) {
		for _, ru := range en.Runs() {
			if ru.ID == id {
				list = append(list, ru)
			}
		}
	}
	return list
}
