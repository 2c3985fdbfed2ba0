package check

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/template"
)

func (c *checker) checkTemplates() {
	services := c.serviceNames()
	names := make(map[string]string)
	for i, definition := range c.deployment.Templates {
		path := fmt.Sprintf("templates[%d]", i)
		c.checkUnique(names, definition.Name, path+".name")
		for k, service := range definition.Services {
			if !services[service] {
				at := fmt.Sprintf("%s.services[%d]", path, k)
				c.add(at, service, "the name of a service of this deployment")
			}
		}
		c.checkParameters(path, definition)
		c.checkTemplateLimits(path, definition)
	}
}

func (c *checker) checkParameters(path string, definition document.Template) {
	names := make(map[string]string)
	for i, parameter := range definition.Parameters {
		at := fmt.Sprintf("%s.parameters[%d]", path, i)
		c.checkUnique(names, parameter.Name, at+".name")
		open := document.Parameter{Type: parameter.Type}
		c.checkParameterValue(at+".minimum", open, parameter.Minimum)
		c.checkParameterValue(at+".maximum", open, parameter.Maximum)
		c.checkParameterValue(at+".default", parameter, parameter.Default)
		upper := document.Parameter{Type: parameter.Type, Maximum: parameter.Maximum}
		if parameter.Minimum != nil && template.CheckValue(upper, parameter.Minimum) != nil {
			c.add(at+".minimum", string(parameter.Minimum), "at most the maximum %s", parameter.Maximum)
		}
	}
}

func (c *checker) checkParameterValue(path string, parameter document.Parameter, value json.RawMessage) {
	if value == nil {
		return
	}
	if err := template.CheckValue(parameter, value); err != nil {
		c.add(path, string(value), "%v", err)
	}
}

// checkTemplateLimits checks that references name declared parameters, and checks
// the limits of a sample customer (see sampleValue).
func (c *checker) checkTemplateLimits(path string, definition document.Template) {
	sample := document.Customer{Parameters: make(map[string]json.RawMessage)}
	declared := make(map[string]bool)
	for _, parameter := range definition.Parameters {
		declared[parameter.Name] = true
		sample.Parameters[parameter.Name] = sampleValue(parameter)
	}
	for _, field := range template.LimitFields(&definition.Limits, &document.Limits{}) {
		name, isReference := template.ParseReference(field.Value)
		if isReference && !declared[name] {
			c.add(path+".limits."+field.Name, string(field.Value), "the name of a parameter of this template")
			return
		}
		if isReference && sample.Parameters[name] == nil {
			return
		}
	}
	_, problems := template.Resolve(sample, definition)
	for _, problem := range problems {
		if strings.HasPrefix(problem.Path, "limits.") {
			c.add(path+"."+problem.Path, problem.Value, "%s", problem.Allowed)
		}
	}
}

// sampleValue returns the parameter's default, minimum or maximum, whichever is
// set first, or nil if none is.
func sampleValue(parameter document.Parameter) json.RawMessage {
	for _, value := range []json.RawMessage{parameter.Default, parameter.Minimum, parameter.Maximum} {
		if value != nil {
			return value
		}
	}
	return nil
}

func (c *checker) checkCustomers() {
	names := make(map[string]string)
	digests := make(map[string]string)
	templates := c.templatesByName()
	for i, customer := range c.deployment.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		c.checkUnique(names, customer.Name, path+".name")
		for k, digest := range customer.CredentialDigests {
			c.checkUnique(digests, digest, fmt.Sprintf("%s.credential_digests[%d]", path, k))
		}
		definition, ok := templates[customer.Template]
		if !ok {
			c.add(path+".template", customer.Template, "the name of a template of this deployment")
			continue
		}
		c.checkCustomerLimits(path, customer, definition)
	}
}

func (c *checker) checkCustomerLimits(path string, customer document.Customer, definition *templateCapacity) {
	limits, problems := template.Resolve(customer, definition.Template)
	for _, problem := range problems {
		c.add(path+"."+problem.Path, problem.Value, "%s", problem.Allowed)
	}
	if len(problems) > 0 {
		return
	}
	if limits.Concurrency > definition.slots {
		c.add(path+".limits.concurrency", strconv.Itoa(limits.Concurrency),
			"at most the %d slots of the services of template %s", definition.slots, definition.Name)
	}
}

// templateCapacity is a template with the total slots of its services.
type templateCapacity struct {
	document.Template
	slots int
}

func (c *checker) templatesByName() map[string]*templateCapacity {
	capacity := make(map[string]int)
	for i := range c.deployment.Services {
		service := &c.deployment.Services[i]
		capacity[service.Name] = Capacity(service)
	}
	templates := make(map[string]*templateCapacity)
	for _, definition := range c.deployment.Templates {
		withSlots := &templateCapacity{Template: definition}
		for _, service := range definition.Services {
			withSlots.slots += capacity[service]
		}
		templates[definition.Name] = withSlots
	}
	return templates
}
