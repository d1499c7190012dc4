// Package quota divides prepaid totals among instances by rows of a durable topic, one row for each team and instance.
//
// At every offset of the topic the grants of a team sum up to no more than its total, since a row that raises a grant is
// appended on condition that nothing was appended since the sum was formed. An instance spends within its own grant, and
// within the ceiling of its last row: what the next life of the instance will count as spent if this one dies.
// The package does no I/O; time comes in as a monotonic duration.
package quota
