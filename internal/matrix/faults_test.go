package matrix

import (
	"fmt"
	"time"

	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

const (
	faultSpan   = 30 * time.Second
	restartSpan = 5 * time.Second
	logDelay    = 800 * time.Millisecond
	lostAnswers = 5
	shortRetain = 20
	stallSpan   = 12 * time.Second
	raceTicket  = 50
)

// fault is something that goes wrong at a moment, on the instance that the moment belongs to.
type fault struct {
	name string
	do   func(wo *world, victim int, mo moment)
}

func (wo *world) later(span time.Duration, fn func()) {
	time.Sleep(span)
	fn()
}

var faults = []fault{
	{"instance crash", func(wo *world, victim int, _ moment) {
		wo.kill(victim)
		wo.later(restartSpan, func() { wo.start(victim) })
	}},
	{"instance pause", func(wo *world, victim int, _ moment) {
		wo.pause(victim, wo.network.Cut)
		wo.later(faultSpan, func() { wo.pause(victim, wo.network.Heal) })
	}},
	{"cut from the log", func(wo *world, victim int, _ moment) {
		wo.isolate(victim, true, false)
		wo.later(faultSpan, func() { wo.heal(victim) })
	}},
	{"cut from peers", func(wo *world, victim int, _ moment) {
		wo.isolate(victim, false, true)
		wo.later(faultSpan, func() { wo.heal(victim) })
	}},
	{"cut from both", func(wo *world, victim int, _ moment) {
		wo.isolate(victim, true, true)
		wo.later(faultSpan, func() { wo.heal(victim) })
	}},
	{"log down", func(wo *world, _ int, _ moment) {
		wo.em.Log.SetFaults(fakes.LogFaults{Down: true})
		wo.later(faultSpan, func() { wo.em.Log.SetFaults(fakes.LogFaults{}) })
	}},
	{"log slow", func(wo *world, _ int, _ moment) {
		wo.em.Log.SetFaults(fakes.LogFaults{Delay: logDelay})
		wo.later(faultSpan, func() { wo.em.Log.SetFaults(fakes.LogFaults{}) })
	}},
	{"answers lost", func(wo *world, _ int, _ moment) {
		wo.em.Log.SetFaults(fakes.LogFaults{LoseAnswers: lostAnswers})
	}},
	{"records expired", func(wo *world, victim int, _ moment) {
		wo.isolate(victim, true, true)
		wo.later(faultSpan, func() {
			wo.em.Log.SetFaults(fakes.LogFaults{Retain: shortRetain})
			wo.em.Log.SetFaults(fakes.LogFaults{})
			wo.heal(victim)
		})
	}},
	{"endpoint crash", func(wo *world, _ int, mo moment) { wo.crashEndpoint(mo.endpoint) }},
	{"endpoint hang", func(wo *world, _ int, mo moment) {
		name := wo.endpointName(mo.endpoint)
		wo.eachInstance(func(no *node) { wo.network.Cut(no.host, wo.endpointHost(name)) })
		wo.later(faultSpan, func() {
			wo.eachInstance(func(no *node) { wo.network.Heal(no.host, wo.endpointHost(name)) })
		})
	}},
	{"late answers", func(wo *world, _ int, _ moment) {
		for _, ru := range wo.em.Runners {
			ru.SetFaults(fakes.RunnerFaults{Stall: true})
		}
		wo.later(stallSpan, func() {
			for _, ru := range wo.em.Runners {
				ru.SetFaults(fakes.RunnerFaults{})
			}
		})
	}},
	{"silent connections", func(wo *world, victim int, _ moment) {
		host := wo.nodes[victim].host
		wo.network.Silence(host, platformHost)
		for ix := range wo.em.Ticket().Endpoints {
			wo.network.Silence(host, hostOf(endpointAddress(ix)))
		}
		wo.eachInstance(func(no *node) { wo.network.Silence(host, no.host) })
	}},
	{"caller gone", func(wo *world, _ int, _ moment) { wo.dropCallers() }},
	{"concurrent tickets", func(wo *world, _ int, _ moment) {
		wo.publishQuietly(raceTopUp(raceTicket, 4_000_000))
		wo.publishQuietly(raceTopUp(raceTicket, 9_000_000))
	}},
	{"top-up meanwhile", func(wo *world, _ int, _ moment) { wo.publishQuietly(raceTopUp(raceTicket+1, 5_000_000)) }},
}

func raceTopUp(number, prepaid int64) ticket.Ticket {
	return ticket.Ticket{
		Number: number, Author: fmt.Sprintf("operator-%d", prepaid),
		Budgets: []ticket.Budget{{Name: scarceBudget, Team: scarceBudget, PrepaidTokens: prepaid}},
	}
}

// pause stops everything that an instance sends or receives.
func (wo *world) pause(index int, fn func(first, second string)) {
	host := wo.nodes[index].host
	wo.eachLink(index, true, true, fn)
	fn(host, callerHost)
	for ix := range wo.em.Ticket().Endpoints {
		fn(host, hostOf(endpointAddress(ix)))
	}
}

func (wo *world) eachInstance(fn func(no *node)) {
	for _, no := range wo.nodes {
		fn(no)
	}
}

// endpointName returns the endpoint of a moment, or some endpoint where it has none.
func (wo *world) endpointName(name string) string {
	if name == "" {
		return "model-1"
	}
	return name
}

func (wo *world) endpointHost(name string) string {
	for ix, en := range wo.em.Ticket().Endpoints {
		if en.Name == name {
			return hostOf(endpointAddress(ix))
		}
	}
	return ""
}

func (wo *world) crashEndpoint(name string) {
	name = wo.endpointName(name)
	models := len(wo.em.Runners)
	for ix, en := range wo.em.Ticket().Endpoints {
		switch {
		case en.Name != name:
		case ix < models:
			wo.em.Runners[ix].Crash()
		default:
			wo.em.Services[ix-models].Crash()
		}
	}
}
