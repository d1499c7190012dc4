// Package quota divides the prepaid tokens of each team among the instances, by rows in a durable topic: one row for each team and
// instance.
//
// At every offset of the topic, the grants of a team add up to no more than its total: a row that raises a grant is appended only if
// nothing was appended since the sum of the grants was read. An instance spends within its own grant, and within the ceiling of its last
// row. The ceiling rises with time and is what the next incarnation of the instance counts as spent if this one dies.
//
// The package does no I/O; time comes in as a monotonic duration.
package quota
