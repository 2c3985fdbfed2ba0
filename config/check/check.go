// Package check validates a deployment before it is published.
//
// Validation has three stages, and each reports every problem that it finds:
// the JSON text against the document types, each field against its rules, and
// the definitions against one another and against the sizes that the platform
// can store. A later stage runs only when the one before found no problem.
package check

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/render"
	"github.com/primroseloom/primroseloom/config/template"
)

// Problem describes an invalid value.
type Problem struct {
	// Path is the place in the document, such as "services[0].floor_slots".
	Path string `json:"path"`
	// Value is the invalid value.
	Value string `json:"value"`
	// Allowed describes the allowed values or says why the value is invalid.
	Allowed string `json:"allowed"`
}

// Error renders the problem in one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: value %s: %s", p.Path, p.Value, p.Allowed)
}

var structValidator = template.NewValidator()

// Parse decodes a deployment and validates it. The deployment is usable only
// when there are no problems.
func Parse(content []byte) (document.Deployment, []Problem) {
	var deployment document.Deployment
	if problems := decode(content, &deployment); len(problems) > 0 {
		return deployment, problems
	}
	return deployment, Deployment(deployment)
}

// Deployment validates a decoded deployment.
func Deployment(deployment document.Deployment) []Problem {
	if problems := checkFields(deployment); len(problems) > 0 {
		return problems
	}
	c := checker{deployment: &deployment}
	c.checkServices()
	c.checkRoutes()
	c.checkTemplates()
	c.checkCustomers()
	c.checkSizes()
	return c.problems
}

// Service validates the fields of one service; paths are relative to it.
func Service(service document.Service) []Problem {
	return convertProblems(template.CheckStruct(structValidator, service, ""))
}

// Route validates the fields of one route; paths are relative to it.
func Route(route document.Route) []Problem {
	return convertProblems(template.CheckStruct(structValidator, route, ""))
}

// Customer validates the fields of one customer; paths are relative to it.
func Customer(customer document.Customer) []Problem {
	return convertProblems(template.CheckStruct(structValidator, customer, ""))
}

func checkFields(deployment document.Deployment) []Problem {
	return convertProblems(template.CheckStruct(structValidator, deployment, ""))
}

func convertProblems(found []template.Problem) []Problem {
	problems := make([]Problem, 0, len(found))
	for _, problem := range found {
		problems = append(problems, Problem(problem))
	}
	return problems
}

// checker validates the definitions of a deployment against one another.
type checker struct {
	deployment *document.Deployment
	problems   []Problem
}

func (c *checker) add(path, value, allowed string, args ...any) {
	problem := Problem{Path: path, Value: value, Allowed: fmt.Sprintf(allowed, args...)}
	c.problems = append(c.problems, problem)
}

// checkUnique reports a value that was already seen at an earlier path.
func (c *checker) checkUnique(seen map[string]string, value, path string) {
	if first, ok := seen[value]; ok {
		c.add(path, value, "already used by %s", first)
		return
	}
	seen[value] = path
}

func (c *checker) checkServices() {
	names := make(map[string]string)
	addresses := make(map[string]string)
	for i := range c.deployment.Services {
		service := &c.deployment.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		c.checkUnique(names, service.Name, path+".name")
		capacity := Capacity(service)
		if service.FloorSlots > capacity {
			c.add(path+".floor_slots", strconv.Itoa(service.FloorSlots),
				"at most the %d slots of the targets that are not leaving", capacity)
		}
		targets := make(map[string]string)
		for k, target := range service.Targets {
			at := fmt.Sprintf("%s.targets[%d]", path, k)
			c.checkUnique(targets, target.Name, at+".name")
			c.checkUnique(addresses, target.Address, at+".address")
		}
	}
}

// Capacity returns the slots of the targets that are not leaving.
func Capacity(service *document.Service) int {
	slots := 0
	for _, target := range service.Targets {
		if !target.Leaving {
			slots += service.Slots
		}
	}
	return slots
}

func (c *checker) checkRoutes() {
	services := c.serviceNames()
	paths := make(map[string]string)
	for i, route := range c.deployment.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.checkUnique(paths, route.Host+route.PathPrefix, path)
		if !services[route.Service] {
			c.add(path+".service", route.Service, "the name of a service of this deployment")
		}
	}
}

func (c *checker) serviceNames() map[string]bool {
	names := make(map[string]bool, len(c.deployment.Services))
	for _, service := range c.deployment.Services {
		names[service.Name] = true
	}
	return names
}

func (c *checker) checkSizes() {
	if len(c.problems) > 0 {
		return
	}
	_, _, err := render.Render(*c.deployment, 1)
	var size *render.SizeError
	if errors.As(err, &size) {
		c.add(size.Value, fmt.Sprintf("%d bytes", size.Size), "at most %d bytes", size.Limit)
		return
	}
	if err != nil {
		c.add("deployment", "", "cannot be rendered: %v", err)
	}
}
