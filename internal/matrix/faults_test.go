package matrix

import (
	"fmt"
	"time"

	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

const (
	// faultDuration is the duration of a fault that lasts, such as a cut link.
	faultDuration = 30 * time.Second
	// restartDelay is the time from the crash of an instance until its restart.
	restartDelay = 5 * time.Second
	// logDelay is the time by which the fault "log slow" delays each call of the log.
	logDelay = 800 * time.Millisecond
	// lostResponses is the number of appends that take effect but return an error.
	lostResponses = 5
	// retainedEntries is the number of newest log entries that remain when records expire.
	retainedEntries = 20
	// stallDuration is the time for which model runners produce no first token.
	stallDuration = 12 * time.Second
	// topUpNumber is the ticket number that both top-ups of the fault "concurrent tickets" use; other top-ups use the numbers around it.
	topUpNumber = 50
)

// fault is a kind of failure.
type fault struct {
	name string
	// inject causes the failure and, if it has a duration, ends it again. ob is the observation that triggered the fault. victim is the index of
	// the instance that caused ob, or 0 if that is unknown.
	inject func(wo *world, victim int, ob observation)
}

// after waits for the given time and then runs fn.
func (wo *world) after(span time.Duration, fn func()) {
	time.Sleep(span)
	fn()
}

var faults = []fault{
	{"instance crash", func(wo *world, victim int, _ observation) {
		wo.kill(victim)
		wo.after(restartDelay, func() { wo.start(victim) })
	}},
	{"instance pause", func(wo *world, victim int, _ observation) {
		wo.pause(victim, wo.network.Cut)
		wo.after(faultDuration, func() { wo.pause(victim, wo.network.Heal) })
	}},
	{"cut from the log", func(wo *world, victim int, _ observation) {
		wo.isolate(victim, true, false)
		wo.after(faultDuration, func() { wo.heal(victim) })
	}},
	{"cut from peers", func(wo *world, victim int, _ observation) {
		wo.isolate(victim, false, true)
		wo.after(faultDuration, func() { wo.heal(victim) })
	}},
	{"cut from both", func(wo *world, victim int, _ observation) {
		wo.isolate(victim, true, true)
		wo.after(faultDuration, func() { wo.heal(victim) })
	}},
	{"log down", func(wo *world, _ int, _ observation) {
		wo.emulator.Log.SetFaults(fakes.LogFaults{Down: true})
		wo.after(faultDuration, func() { wo.emulator.Log.SetFaults(fakes.LogFaults{}) })
	}},
	{"log slow", func(wo *world, _ int, _ observation) {
		wo.emulator.Log.SetFaults(fakes.LogFaults{Delay: logDelay})
		wo.after(faultDuration, func() { wo.emulator.Log.SetFaults(fakes.LogFaults{}) })
	}},
	{"answers lost", func(wo *world, _ int, _ observation) {
		wo.emulator.Log.SetFaults(fakes.LogFaults{LoseResponses: lostResponses})
	}},
	{"records expired", func(wo *world, victim int, _ observation) {
		wo.isolate(victim, true, true)
		wo.after(faultDuration, func() {
			wo.emulator.Log.SetFaults(fakes.LogFaults{Retain: retainedEntries})
			wo.emulator.Log.SetFaults(fakes.LogFaults{})
			wo.heal(victim)
		})
	}},
	{"endpoint crash", func(wo *world, _ int, ob observation) { wo.crashEndpoint(ob.endpoint) }},
	{"endpoint hang", func(wo *world, _ int, ob observation) {
		name := wo.endpointName(ob.endpoint)
		wo.eachInstance(func(no *node) { wo.network.Cut(no.host, wo.endpointHost(name)) })
		wo.after(faultDuration, func() {
			wo.eachInstance(func(no *node) { wo.network.Heal(no.host, wo.endpointHost(name)) })
		})
	}},
	{"late answers", func(wo *world, _ int, _ observation) {
		for _, ru := range wo.emulator.Runners {
			ru.SetFaults(fakes.RunnerFaults{Stall: true})
		}
		wo.after(stallDuration, func() {
			for _, ru := range wo.emulator.Runners {
				ru.SetFaults(fakes.RunnerFaults{})
			}
		})
	}},
	{"silent connections", func(wo *world, victim int, _ observation) {
		host := wo.nodes[victim].host
		wo.network.Blackhole(host, platformHost)
		for ix := range wo.emulator.Ticket().Endpoints {
			wo.network.Blackhole(host, hostOf(endpointAddress(ix)))
		}
		wo.eachInstance(func(no *node) { wo.network.Blackhole(host, no.host) })
	}},
	{"caller gone", func(wo *world, _ int, _ observation) { wo.cancelCallers() }},
	{"concurrent tickets", func(wo *world, _ int, _ observation) {
		wo.tryPublish(topUp(topUpNumber, 4_000_000))
		wo.tryPublish(topUp(topUpNumber, 9_000_000))
	}},
	{"top-up meanwhile", func(wo *world, _ int, _ observation) { wo.tryPublish(topUp(topUpNumber+1, 5_000_000)) }},
}

// topUp returns a ticket that sets the total of prepaid tokens of scarceBudget; number is the ticket's number.
func topUp(number, prepaid int64) ticket.Ticket {
	return ticket.Ticket{
		Number: number, Author: fmt.Sprintf("operator-%d", prepaid),
		Budgets: []ticket.Budget{{Name: scarceBudget, Team: scarceBudget, PrepaidTokens: prepaid}},
	}
}

// pause calls fn, which cuts or heals a link, for every link of an instance: to the platform, peers, callers and endpoints.
func (wo *world) pause(index int, fn func(first, second string)) {
	host := wo.nodes[index].host
	wo.eachLink(index, true, true, fn)
	fn(host, callerHost)
	for ix := range wo.emulator.Ticket().Endpoints {
		fn(host, hostOf(endpointAddress(ix)))
	}
}

func (wo *world) eachInstance(fn func(no *node)) {
	for _, no := range wo.nodes {
		fn(no)
	}
}

// endpointName returns name, the endpoint of an observation. If name is empty, because the observation is no event of a run, it returns
// model-1, so that the faults of endpoints always have a target.
func (wo *world) endpointName(name string) string {
	if name == "" {
		return "model-1"
	}
	return name
}

// endpointHost returns the network host of the endpoint with the given name, or "" if there is none.
func (wo *world) endpointHost(name string) string {
	for ix, en := range wo.emulator.Ticket().Endpoints {
		if en.Name == name {
			return hostOf(endpointAddress(ix))
		}
	}
	return ""
}

func (wo *world) crashEndpoint(name string) {
	name = wo.endpointName(name)
	models := len(wo.emulator.Runners)
	for ix, en := range wo.emulator.Ticket().Endpoints {
		switch {
		case en.Name != name:
		case ix < models:
			wo.emulator.Runners[ix].Crash()
		default:
			wo.emulator.Services[ix-models].Crash()
		}
	}
}
