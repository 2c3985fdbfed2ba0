package check

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/template"
)

func (j *judge) templates() {
	services := j.serviceNames()
	names := make(map[string]string)
	for i, definition := range j.deployment.Templates {
		path := fmt.Sprintf("templates[%d]", i)
		j.unique(names, definition.Name, path+".name")
		for k, service := range definition.Services {
			if !services[service] {
				at := fmt.Sprintf("%s.services[%d]", path, k)
				j.add(at, service, "the name of a service of this deployment")
			}
		}
		j.parameters(path, definition)
		j.templateLimits(path, definition)
	}
}

func (j *judge) parameters(path string, definition document.Template) {
	names := make(map[string]string)
	for i, parameter := range definition.Parameters {
		at := fmt.Sprintf("%s.parameters[%d]", path, i)
		j.unique(names, parameter.Name, at+".name")
		open := document.Parameter{Type: parameter.Type}
		j.parameterValue(at+".minimum", open, parameter.Minimum)
		j.parameterValue(at+".maximum", open, parameter.Maximum)
		j.parameterValue(at+".default", parameter, parameter.Default)
		upper := document.Parameter{Type: parameter.Type, Maximum: parameter.Maximum}
		if parameter.Minimum != nil && template.CheckValue(upper, parameter.Minimum) != nil {
			j.add(at+".minimum", string(parameter.Minimum), "at most the maximum %s", parameter.Maximum)
		}
	}
}

func (j *judge) parameterValue(path string, parameter document.Parameter, value json.RawMessage) {
	if value == nil {
		return
	}
	if err := template.CheckValue(parameter, value); err != nil {
		j.add(path, string(value), "%v", err)
	}
}

// templateLimits checks the references, and the limits that a customer without
// values of its own would get.
func (j *judge) templateLimits(path string, definition document.Template) {
	sample := document.Customer{Parameters: make(map[string]json.RawMessage)}
	declared := make(map[string]bool)
	for _, parameter := range definition.Parameters {
		declared[parameter.Name] = true
		sample.Parameters[parameter.Name] = sampleValue(parameter)
	}
	for _, field := range template.LimitFields(&definition.Limits, &document.Limits{}) {
		name, isReference := template.ParseReference(field.Value)
		if isReference && !declared[name] {
			j.add(path+".limits."+field.Name, string(field.Value), "the name of a parameter of this template")
			return
		}
		if isReference && sample.Parameters[name] == nil {
			return
		}
	}
	_, problems := template.Resolve(sample, definition)
	for _, problem := range problems {
		if strings.HasPrefix(problem.Path, "limits.") {
			j.add(path+"."+problem.Path, problem.Value, "%s", problem.Allowed)
		}
	}
}

// sampleValue returns a value that the parameter allows, or nil if none is stated.
func sampleValue(parameter document.Parameter) json.RawMessage {
	for _, value := range []json.RawMessage{parameter.Default, parameter.Minimum, parameter.Maximum} {
		if value != nil {
			return value
		}
	}
	return nil
}

func (j *judge) customers() {
	names := make(map[string]string)
	digests := make(map[string]string)
	templates := j.templatesByName()
	for i, customer := range j.deployment.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		j.unique(names, customer.Name, path+".name")
		for k, digest := range customer.CredentialDigests {
			j.unique(digests, digest, fmt.Sprintf("%s.credential_digests[%d]", path, k))
		}
		definition, ok := templates[customer.Template]
		if !ok {
			j.add(path+".template", customer.Template, "the name of a template of this deployment")
			continue
		}
		j.customerLimits(path, customer, definition)
	}
}

func (j *judge) customerLimits(path string, customer document.Customer, definition *usableTemplate) {
	limits, problems := template.Resolve(customer, definition.Template)
	for _, problem := range problems {
		j.add(path+"."+problem.Path, problem.Value, "%s", problem.Allowed)
	}
	if len(problems) > 0 {
		return
	}
	if limits.Concurrency > definition.slots {
		j.add(path+".limits.concurrency", strconv.Itoa(limits.Concurrency),
			"at most the %d slots of the services of template %s", definition.slots, definition.Name)
	}
}

// usableTemplate is a template with the slots of the services it names.
type usableTemplate struct {
	document.Template
	slots int
}

func (j *judge) templatesByName() map[string]*usableTemplate {
	capacity := make(map[string]int)
	for i := range j.deployment.Services {
		service := &j.deployment.Services[i]
		capacity[service.Name] = Capacity(service)
	}
	templates := make(map[string]*usableTemplate)
	for _, definition := range j.deployment.Templates {
		usable := &usableTemplate{Template: definition}
		for _, service := range definition.Services {
			usable.slots += capacity[service]
		}
		templates[definition.Name] = usable
	}
	return templates
}
