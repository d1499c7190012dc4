// Package runner calls endpoints over HTTP: model runners and plain services, which are all services other than models.
package runner
