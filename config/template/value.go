package template

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/go-playground/validator/v10"

	"github.com/primroseloom/primroseloom/config/document"
)

// ErrWrongType is wrapped by every error about the type of a parameter's value.
var ErrWrongType = errors.New("wrong type")

// CheckValue checks a value against the type and range of a parameter.
func CheckValue(parameter document.Parameter, value json.RawMessage) error {
	number, err := parseAsNumber(parameter.Type, value)
	if err != nil {
		return err
	}
	if parameter.Minimum != nil {
		if minimum, err := parseAsNumber(parameter.Type, parameter.Minimum); err == nil && number < minimum {
			return fmt.Errorf("at least %s", parameter.Minimum)
		}
	}
	if parameter.Maximum != nil {
		if maximum, err := parseAsNumber(parameter.Type, parameter.Maximum); err == nil && number > maximum {
			return fmt.Errorf("at most %s", parameter.Maximum)
		}
	}
	return nil
}

// parseAsNumber parses a value of the given parameter type as a number; durations
// are in nanoseconds.
func parseAsNumber(kind string, value json.RawMessage) (float64, error) {
	if kind == "duration" {
		var duration document.Duration
		if json.Unmarshal(value, &duration) != nil {
			return 0, fmt.Errorf("%w: want a duration such as \"250ms\"", ErrWrongType)
		}
		return float64(duration), nil
	}
	var number *float64
	if json.Unmarshal(value, &number) != nil || number == nil {
		return 0, fmt.Errorf("%w: want a %s", ErrWrongType, kind)
	}
	if kind == "integer" && *number != math.Trunc(*number) {
		return 0, fmt.Errorf("%w: want a whole number", ErrWrongType)
	}
	return *number, nil
}

var limitsValidator = NewValidator()

// CheckLimits checks resolved limits against the range of each limit.
func CheckLimits(limits document.Limits) []Problem {
	return CheckStruct(limitsValidator, limits, "limits")
}

// CheckStruct validates a struct by its validate tags; the paths of the problems
// begin with the given prefix.
func CheckStruct(check *validator.Validate, value any, prefix string) []Problem {
	err := check.Struct(value)
	var failed validator.ValidationErrors
	if !errors.As(err, &failed) {
		return nil
	}
	problems := make([]Problem, 0, len(failed))
	for _, field := range failed {
		problems = append(problems, Problem{
			Path:    problemPath(prefix, field.Namespace()),
			Value:   fmt.Sprint(field.Value()),
			Allowed: allowedText(field),
		})
	}
	return problems
}
