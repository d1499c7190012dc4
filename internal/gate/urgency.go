package gate

const (
	// firstUrgency is the urgency of the most urgent rank at endpoints, and maxUrgency bounds that of the others. Endpoints preempt less urgent requests for more
	// urgent ones, so the ranks stay near the urgency 5, which endpoints assume of requests that state none.
	firstUrgency = 3
	maxUrgency   = 7
)

// urgency returns the urgency to state to the endpoint, or zero for none. All attempts of a request have the same one. It is stated only for models whose requests
// have more than one rank.
func (pr *proxyRequest) urgency() int {
	if !pr.service.RunsModel() || !pr.plan.MixedRanks(pr.service.Name) {
		return 0
	}
	return min(firstUrgency+max(0, pr.rank), maxUrgency)
}
