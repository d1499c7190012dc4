package emul

import "time"

const (
	// cutNoticeTime is the time in which an instance notices that it reaches no runner, as in pkg/reach.
	cutNoticeTime = 700 * time.Millisecond
	// relayDelay is the time that a request takes longer through a peer, with the new connection to the runner.
	relayDelay = 5 * time.Millisecond
)

// Cut is a time in which some instances reach no runner themselves.
type Cut struct {
	// Instances is the number of instances that are cut off, the first ones.
	Instances int
	// From is the start of the cut.
	From time.Duration
	// To is the end of the cut.
	To time.Duration
}

// CutTally compares the instances that are cut off with the others, from cutSettleTime after the start of the cut to its end.
type CutTally struct {
	// Cut is the share of the requests at the instances that are cut off which are served at their first try.
	Cut float64
	// Others is that share at all other instances.
	Others float64
}

// cutSettleTime is the time from the start of a cut until requests count.
const cutSettleTime = 3 * time.Second

// path says how a request gets from an instance to a runner.
type path uint8

const (
	direct path = iota
	// lost means that the request, or the response to it, does not arrive.
	lost
	// relayed means that it goes through a peer.
	relayed
)

// path returns how the requests of an instance get to the runners now. Policies other than the router's know no peers.
func (si *simulation) path(instance int) path {
	cu, now := si.scenario.Cut, si.clock.now
	if instance >= cu.Instances || now < cu.From || now >= cu.To {
		return direct
	}
	if _, ok := si.policy.(*weir); !ok || now < cu.From+cutNoticeTime || cu.Instances >= si.scenario.Instances {
		return lost
	}
	return relayed
}

// scheduleCut lets the cut instances notice the start and the end of the cut.
func (si *simulation) scheduleCut() {
	we, ok := si.policy.(*weir)
	if !ok {
		return
	}
	cu := si.scenario.Cut
	for instance := range cu.Instances {
		for _, at := range []time.Duration{cu.From + cutNoticeTime, cu.To} {
			si.clock.at(at, func() { we.balancers[instance].ForgetLoad(si.clock.now) })
		}
	}
}

// cutTally counts the first tries in the cut.
func (si *simulation) cutTally() CutTally {
	cu := si.scenario.Cut
	var served, all [2]float64
	for _, cr := range si.requests {
		if cr.arrivedAt < cu.From+cutSettleTime || cr.arrivedAt >= cu.To-cr.class.Timeout {
			continue
		}
		kind := 0
		if cr.instance < cu.Instances {
			kind = 1
		}
		all[kind]++
		if cr.firstTokenAt > 0 && cr.refusals == 0 {
			served[kind]++
		}
	}
	if all[0] == 0 || all[1] == 0 {
		return CutTally{}
	}
	return CutTally{Cut: served[1] / all[1], Others: served[0] / all[0]}
}
