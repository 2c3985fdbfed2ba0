// Package check judges a deployment before it is published.
//
// The judgement has three stages, and each reports every problem that it
// finds: the JSON text against the document types, each field against its
// rules, and the definitions against one another and against the sizes that
// the platform holds. A later stage runs only when the one before found
// nothing.
package check

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/render"
	"github.com/primroseloom/primroseloom/config/template"
)

// Problem tells what is wrong with one value.
type Problem struct {
	// Path is the place in the document, such as "services[0].floor_slots".
	Path string `json:"path"`
	// Value is the offending value.
	Value string `json:"value"`
	// Allowed tells what the value may be.
	Allowed string `json:"allowed"`
}

// Error renders the problem in one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: value %s: %s", p.Path, p.Value, p.Allowed)
}

var structure = template.NewValidator()

// Parse reads a deployment and judges it whole. The deployment is usable only
// when there are no problems.
func Parse(content []byte) (document.Deployment, []Problem) {
	var deployment document.Deployment
	if problems := decode(content, &deployment); len(problems) > 0 {
		return deployment, problems
	}
	return deployment, Deployment(deployment)
}

// Deployment judges a deployment that has been read already.
func Deployment(deployment document.Deployment) []Problem {
	if problems := fields(deployment); len(problems) > 0 {
		return problems
	}
	judge := judge{deployment: &deployment}
	judge.services()
	judge.routes()
	judge.templates()
	judge.customers()
	judge.sizes()
	return judge.problems
}

// Service judges the fields of one service; paths are relative to it.
func Service(service document.Service) []Problem {
	return convert(template.CheckStruct(structure, service, ""))
}

// Route judges the fields of one route; paths are relative to it.
func Route(route document.Route) []Problem {
	return convert(template.CheckStruct(structure, route, ""))
}

// Customer judges the fields of one customer; paths are relative to it.
func Customer(customer document.Customer) []Problem {
	return convert(template.CheckStruct(structure, customer, ""))
}

func fields(deployment document.Deployment) []Problem {
	return convert(template.CheckStruct(structure, deployment, ""))
}

func convert(found []template.Problem) []Problem {
	problems := make([]Problem, 0, len(found))
	for _, problem := range found {
		problems = append(problems, Problem(problem))
	}
	return problems
}

// judge compares the definitions of a deployment with one another.
type judge struct {
	deployment *document.Deployment
	problems   []Problem
}

func (j *judge) add(path, value, allowed string, args ...any) {
	problem := Problem{Path: path, Value: value, Allowed: fmt.Sprintf(allowed, args...)}
	j.problems = append(j.problems, problem)
}

// unique reports a value that stands at an earlier path already.
func (j *judge) unique(seen map[string]string, value, path string) {
	if first, ok := seen[value]; ok {
		j.add(path, value, "used already by %s", first)
		return
	}
	seen[value] = path
}

func (j *judge) services() {
	names := make(map[string]string)
	addresses := make(map[string]string)
	for i := range j.deployment.Services {
		service := &j.deployment.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		j.unique(names, service.Name, path+".name")
		capacity := Capacity(service)
		if service.FloorSlots > capacity {
			j.add(path+".floor_slots", strconv.Itoa(service.FloorSlots),
				"at most the %d slots of the targets that are not leaving", capacity)
		}
		targets := make(map[string]string)
		for k, target := range service.Targets {
			at := fmt.Sprintf("%s.targets[%d]", path, k)
			j.unique(targets, target.Name, at+".name")
			j.unique(addresses, target.Address, at+".address")
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

func (j *judge) routes() {
	services := j.serviceNames()
	places := make(map[string]string)
	for i, route := range j.deployment.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		j.unique(places, route.Host+route.PathPrefix, path)
		if !services[route.Service] {
			j.add(path+".service", route.Service, "the name of a service of this deployment")
		}
	}
}

func (j *judge) serviceNames() map[string]bool {
	names := make(map[string]bool, len(j.deployment.Services))
	for _, service := range j.deployment.Services {
		names[service.Name] = true
	}
	return names
}

func (j *judge) sizes() {
	if len(j.problems) > 0 {
		return
	}
	_, _, err := render.Render(*j.deployment, 1)
	var size *render.SizeError
	if errors.As(err, &size) {
		j.add(size.Value, fmt.Sprintf("%d bytes", size.Size), "at most %d bytes", size.Limit)
		return
	}
	if err != nil {
		j.add("deployment", "", "cannot be rendered: %v", err)
	}
}
