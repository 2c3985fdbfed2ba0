// Package template resolves the limits of a customer from its template and its
// parameters.
//
// A limit is a JSON value or a reference such as "${rate}" to a declared
// parameter. A parameter's value comes from the customer, or else from the
// parameter's default; it must have the declared type and lie in the declared
// range. Both the check before publishing and the daemons resolve customers
// with this package, so they get the same limits for every customer.
package template

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/primroseloom/primroseloom/config/document"
)

// Problem describes an invalid value.
type Problem struct {
	// Path is relative to the customer or template, such as "parameters.rate".
	Path string
	// Value is the invalid value as written.
	Value string
	// Allowed describes the allowed values or says why the value is invalid.
	Allowed string
}

// Error renders the problem in one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: value %s: %s", p.Path, p.Value, p.Allowed)
}

// JoinProblems combines problems into one error, or nil when there are none.
func JoinProblems(problems []Problem) error {
	errs := make([]error, 0, len(problems))
	for _, problem := range problems {
		errs = append(errs, problem)
	}
	return errors.Join(errs...)
}

// Resolve returns the limits of a customer, or every problem found.
func Resolve(customer document.Customer, template document.Template) (document.Limits, []Problem) {
	resolver := resolver{values: customer.Parameters, declared: template.Parameters}
	resolver.checkParameters()
	var limits document.Limits
	if len(resolver.problems) > 0 {
		return limits, resolver.problems
	}
	for _, field := range LimitFields(&template.Limits, &limits) {
		resolver.resolveLimit(field)
	}
	if len(resolver.problems) == 0 {
		resolver.problems = CheckLimits(limits)
	}
	return limits, resolver.problems
}

// LimitField is one limit: its name, its value in the template and the
// destination of its resolved value.
type LimitField struct {
	Name        string
	Value       json.RawMessage
	destination any
}

// LimitFields lists the limits of a template in the order of docs/CONFIGURATION.md.
func LimitFields(raw *document.TemplateLimits, limits *document.Limits) []LimitField {
	return []LimitField{
		{"rate", raw.Rate, &limits.Rate},
		{"burst", raw.Burst, &limits.Burst},
		{"concurrency", raw.Concurrency, &limits.Concurrency},
		{"queue", raw.Queue, &limits.Queue},
		{"deadline", raw.Deadline, &limits.Deadline},
		{"retry_ratio", raw.RetryRatio, &limits.RetryRatio},
		{"weight", raw.Weight, &limits.Weight},
	}
}

// ParseReference returns the name of the parameter that a limit refers to, if it
// is a reference such as "${rate}".
func ParseReference(value json.RawMessage) (string, bool) {
	if len(value) == 0 || value[0] != '"' {
		return "", false
	}
	var text string
	if json.Unmarshal(value, &text) != nil {
		return "", false
	}
	name, opened := strings.CutPrefix(text, "${")
	name, closed := strings.CutSuffix(name, "}")
	return name, opened && closed
}

type resolver struct {
	values   map[string]json.RawMessage
	declared []document.Parameter
	problems []Problem
}

func (r *resolver) add(path string, value json.RawMessage, allowed string) {
	r.problems = append(r.problems, Problem{Path: path, Value: string(value), Allowed: allowed})
}

// checkParameters checks the customer's parameter values in order of name.
func (r *resolver) checkParameters() {
	names := make([]string, 0, len(r.values))
	for name := range r.values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		path := "parameters." + name
		parameter, ok := r.findParameter(name)
		if !ok {
			r.add(path, r.values[name], "the template declares no such parameter")
			continue
		}
		if err := CheckValue(parameter, r.values[name]); err != nil {
			r.add(path, r.values[name], err.Error())
		}
	}
}

func (r *resolver) findParameter(name string) (document.Parameter, bool) {
	at := slices.IndexFunc(r.declared, func(p document.Parameter) bool { return p.Name == name })
	if at < 0 {
		return document.Parameter{}, false
	}
	return r.declared[at], true
}

func (r *resolver) resolveLimit(field LimitField) {
	value := field.Value
	path := "limits." + field.Name
	if name, ok := ParseReference(value); ok {
		parameter, declared := r.findParameter(name)
		if !declared {
			r.add(path, value, "the template declares no such parameter")
			return
		}
		given, isSet := r.values[name]
		value = given
		if !isSet {
			value = parameter.Default
		}
		if value == nil {
			r.add("parameters."+name, nil, "required: the template gives no default")
			return
		}
	}
	if err := json.Unmarshal(value, field.destination); err != nil {
		r.add(path, value, fmt.Sprintf("wrong type: %v", err))
	}
}
