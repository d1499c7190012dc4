// Package plan indexes one immutable version of the configuration: routes, services, and teams with their prepaid token totals.
package plan
