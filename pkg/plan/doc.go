// Package plan holds one immutable version of the configuration: routes, services, and teams with their prepaid totals.
package plan
