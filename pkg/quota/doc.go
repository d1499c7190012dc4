// Package quota divides the prepaid tokens of each team among the instances, by rows in a durable topic: one row for each team and
// instance.
//
// At every offset of the topic, the grants of a team add up to no more than its total: a row that raises a grant is appended only if
// nothing was appended since the sum of the grants was read. An instance spends within its own grant, and within the ceiling of its last
// row. The ceiling rises with time. If the instance dies, its next incarnation counts everything up to the ceiling as spent, because it
// cannot know what was spent since that row. The part of it that the row does not show as spent is called written off.
//
// A holder is an instance that has a grant of a team. Instances also lend tokens to each other, without writing a row; an instance that has
// no grant can only borrow.
//
// The package does no I/O; time comes in as a monotonic duration.
package quota
