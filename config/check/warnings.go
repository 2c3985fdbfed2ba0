package check

import (
	"fmt"

	"github.com/primroseloom/primroseloom/config/document"
)

// Warnings returns what takes effect in a valid deployment but is probably not intended:
// services that no route uses. A deployment may be published with warnings.
func Warnings(deployment document.Deployment) []Problem {
	c := checker{deployment: &deployment}
	used := make(map[string]bool, len(deployment.Services))
	for _, route := range deployment.Routes {
		used[route.Service] = true
	}
	for i, service := range deployment.Services {
		if !used[service.Name] {
			c.add(fmt.Sprintf("services[%d].name", i), service.Name, "no route uses this service")
		}
	}
	return c.problems
}
