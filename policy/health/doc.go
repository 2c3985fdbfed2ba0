// Package health decides which targets of a service are fit for work.
package health
