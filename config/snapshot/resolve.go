package snapshot

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/primroseloom/primroseloom/config/document"
)

// resolve fills a template's limits with a customer's parameters.
func resolve(definition document.Customer, templates map[string]document.Template) (*Customer, error) {
	template, ok := templates[definition.Template]
	if !ok {
		return nil, fmt.Errorf("template %q does not exist", definition.Template)
	}
	customer := &Customer{Name: definition.Name, Template: template.Name, Services: make(map[string]bool)}
	for _, service := range template.Services {
		customer.Services[service] = true
	}
	raw := template.Limits
	fields := []struct {
		name  string
		value json.RawMessage
		into  any
	}{
		{"rate", raw.Rate, &customer.Limits.Rate},
		{"burst", raw.Burst, &customer.Limits.Burst},
		{"concurrency", raw.Concurrency, &customer.Limits.Concurrency},
		{"queue", raw.Queue, &customer.Limits.Queue},
		{"deadline", raw.Deadline, &customer.Limits.Deadline},
		{"retry_ratio", raw.RetryRatio, &customer.Limits.RetryRatio},
		{"weight", raw.Weight, &customer.Limits.Weight},
	}
	for _, field := range fields {
		value, err := substitute(field.value, template.Parameters, definition.Parameters)
		if err != nil {
			return nil, fmt.Errorf("limit %s: %w", field.name, err)
		}
		if err := json.Unmarshal(value, field.into); err != nil {
			return nil, fmt.Errorf("limit %s: value %s: %w", field.name, value, err)
		}
	}
	return customer, nil
}

// substitute replaces a reference such as "${rate}" by the parameter's value.
func substitute(value json.RawMessage, parameters []document.Parameter, set map[string]json.RawMessage) (json.RawMessage, error) {
	var text string
	if json.Unmarshal(value, &text) != nil || !strings.HasPrefix(text, "${") {
		return value, nil
	}
	name := strings.TrimSuffix(strings.TrimPrefix(text, "${"), "}")
	if given, ok := set[name]; ok {
		return given, nil
	}
	for _, parameter := range parameters {
		if parameter.Name == name && parameter.Default != nil {
			return parameter.Default, nil
		}
	}
	return nil, fmt.Errorf("parameter %q has neither a value nor a default", name)
}
