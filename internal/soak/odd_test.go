package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// oddValues are records that no instance can use.
var oddValues = []string{
	strings.Repeat("[", 200_000),
	strings.Repeat(`{"a":`, 50_000),
	`{"service":"model","address":"127.0.0.1:80","zone":"zone-a","slots":4,"state":"ready","sequence":` + strings.Repeat("9", 400) + `,"born":1}`,
	`{"service":"model","address":"127.0.0.1:80","zone":"zone-a","slots":1e400,"state":"ready","sequence":1,"born":1}`,
	`{"service":"model","address":"127.0.0.1:80","zone":"zone-a","slots":4,"state":"ready","sequence":1,"born":1.5e300}`,
	`{"service":"model","address":"127.0.0.1:70000","zone":"zone-a","slots":4,"state":"ready","sequence":1,"born":1}`,
	`{"service":"model","address":"127.0.0.1:-1","zone":"zone-a","slots":4,"state":"ready","sequence":1,"born":1}`,
	`{"service":"model","address":"127.0.0.1:0","zone":"zone-a","slots":4,"state":"ready","sequence":1,"born":1}`,
	`{"service":"model","address":"[::1","zone":"zone-a","slots":4,"state":"ready","sequence":1,"born":1}`,
	`{"service":"model","address":"127.0.0.1:80","zone":"zone-a","slots":4,"state":"odd","sequence":1,"born":1}`,
	`{"service":["model"],"address":{},"zone":7,"slots":"4","state":"ready"}`,
	"\xff\xfe\x00\x80", "null", "{}", "\"\"", " ", "\x9f\x9f\x9f\x9f\x9f\x9f", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
}

// metric returns the line of the node's metrics page that begins with the prefix.
func (no *node) metric(prefix string) string {
	rs, err := http.Get("http://" + no.readyAddress + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return err.Error()
	}
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, prefix) {
			return line
		}
	}
	return ""
}

// TestOddRecordsOfAnotherWriter puts records that cannot be used into all topics that instances read. No process may end, also not one that starts and reads
// them first, and the registrations that follow must be applied.
func TestOddRecordsOfAnotherWriter(tt *testing.T) {
	wo := newWorld(tt, 3, 10_000_000)
	awaitReady(tt, wo)
	for ix, value := range oddValues {
		wo.store.Put(wire.RegistrationTopic, fmt.Sprint("odd-", ix), []byte(value))
		wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, []byte(value))
		wo.store.Put(wire.OperatorTopic, fmt.Sprint("odd-", ix), []byte(value))
		for _, prefix := range []string{"grant/odd/", "grant/", "member/", "crash/", "builds/", "odd"} {
			wo.store.Put("keyed.weir", fmt.Sprint(prefix, ix), []byte(value))
		}
		for part := range 4 {
			topic := "weir-origins"
			if part > 0 {
				topic = fmt.Sprint(topic, "/", part)
			}
			wo.store.Put(topic, "", []byte(value))
		}
	}
	// The operator writes a usable configuration again, and an endpoint registers.
	wo.configure()
	wo.register(stand.EndpointConfig{
		ID: "late", Service: "model", Domain: "zone-a", Slots: 32, Events: eventsPerStream, Pause: eventInterval, Version: versions[0],
	})
	check := func(when string) {
		client := newClient()
		served := 0
		const count = 60
		for number := range int64(count) {
			ou := outcome{id: fmt.Sprint(when, "-", number), number: firstSound + number%30, route: []string{"resume", "stream"}[number%2]}
			wo.call(client, wo.nodes[int(number)%len(wo.nodes)], &ou)
			if ou.status == http.StatusOK && !ou.broken {
				served++
			}
		}
		if served < count*9/10 {
			tt.Errorf("%s: %d of %d requests were served, want nine in ten", when, served, count)
		}
		want := fmt.Sprint("weir_usable_endpoints ", len(wo.addresses))
		for _, no := range wo.nodes {
			if got := no.metric("weir_usable_endpoints "); got != want {
				tt.Errorf("%s: instance %s says %q, want %q: it must follow the registrations after the odd records", when, no.name, got, want)
			}
		}
	}
	time.Sleep(returnTime)
	for _, no := range wo.nodes {
		select {
		case <-no.ended:
			tt.Errorf("instance %s has ended; its log messages end with\n%s", no.name, no.logEnd())
		default:
		}
	}
	check("running")
	wo.killNodes()
	time.Sleep(returnTime)
	check("started")
}
