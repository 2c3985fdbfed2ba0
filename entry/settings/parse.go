package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/primroseloom/primroseloom/config/check"
)

// Problems lists all problems of one settings file.
type Problems []check.Problem

// Error renders the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// Parse reads settings over the defaults and checks them. The error is a Problems
// when the file is valid JSON but its content is not allowed.
func Parse(data []byte) (Settings, error) {
	parsed := Default()
	problems, err := decode(data, &parsed)
	if err != nil {
		return Settings{}, err
	}
	problems = append(problems, validate(parsed)...)
	problems = append(problems, findDuplicateAddresses([]listenAddress{
		{"listen.callers", parsed.Listen.Callers},
		{"listen.peers", parsed.Listen.Peers},
		{"listen.admin", parsed.Listen.Admin},
	})...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return parsed, nil
}

// decode reads the known fields one by one, so that it finds every problem.
func decode(data []byte, into any) (Problems, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	var fields map[string]json.RawMessage
	if err := decoder.Decode(&fields); err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("read settings: more than one JSON value in the file")
	}
	return decodeObject("", fields, reflect.ValueOf(into).Elem()), nil
}

func decodeObject(path string, fields map[string]json.RawMessage, into reflect.Value) Problems {
	var problems Problems
	known := make(map[string]reflect.Value)
	var names []string
	for i := range into.NumField() {
		name := jsonName(into.Type().Field(i))
		known[name] = into.Field(i)
		names = append(names, name)
	}
	for name, raw := range fields {
		field, ok := known[name]
		if !ok {
			problems = append(problems, check.Problem{Path: path + name, Value: string(raw), Allowed: "one of the fields " + strings.Join(names, ", ")})
			continue
		}
		problems = append(problems, decodeField(path+name, raw, field)...)
	}
	return problems
}

func decodeField(path string, raw json.RawMessage, into reflect.Value) Problems {
	if into.Kind() == reflect.Struct {
		var inner map[string]json.RawMessage
		if err := json.Unmarshal(raw, &inner); err != nil {
			return Problems{{Path: path, Value: string(raw), Allowed: "an object"}}
		}
		return decodeObject(path+".", inner, into)
	}
	if err := json.Unmarshal(raw, into.Addr().Interface()); err != nil {
		return Problems{{Path: path, Value: string(raw), Allowed: describeAllowedType(into, err)}}
	}
	return nil
}

func describeAllowedType(into reflect.Value, err error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return "a " + into.Type().String()
	}
	return err.Error()
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	must(v.RegisterValidation("name", func(level validator.FieldLevel) bool {
		return namePattern.MatchString(level.Field().String())
	}))
	must(v.RegisterValidation("address", func(level validator.FieldLevel) bool {
		parsed, err := netip.ParseAddrPort(level.Field().String())
		return err == nil && parsed.Port() != 0
	}))
	return v
}

// must panics when the validator rejects a registration, which is a bug in this package.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func validate(parsed any) Problems {
	var invalid validator.ValidationErrors
	if !errors.As(newValidator().Struct(parsed), &invalid) {
		return nil
	}
	problems := make(Problems, 0, len(invalid))
	for _, fieldError := range invalid {
		_, path, _ := strings.Cut(fieldError.Namespace(), ".")
		problems = append(problems, check.Problem{Path: path, Value: fmt.Sprint(fieldError.Value()), Allowed: describeAllowed(fieldError)})
	}
	return problems
}

// describeAllowed describes the values that a validation tag accepts.
func describeAllowed(fieldError validator.FieldError) string {
	texts := map[string]string{
		"required":        "a value",
		"required_unless": "a file path, or tls.off set to true",
		"name":            "1 to 64 lower-case letters, digits and dashes",
		"address":         "IP:port with a port from 1 to 65535",
		"unique":          "values that differ from one another",
		"oneof":           "one of " + fieldError.Param(),
		"min":             "at least " + fieldError.Param() + unitSuffix(fieldError),
		"max":             "at most " + fieldError.Param() + unitSuffix(fieldError),
	}
	return texts[fieldError.Tag()]
}

func unitSuffix(fieldError validator.FieldError) string {
	if strings.HasSuffix(fieldError.Type().String(), "Duration") {
		return " ns"
	}
	return ""
}

// listenAddress is the path of a setting and the address it holds.
type listenAddress struct{ path, address string }

// findDuplicateAddresses finds listeners that share an address.
func findDuplicateAddresses(listeners []listenAddress) Problems {
	var problems Problems
	pathByAddress := make(map[string]string)
	for _, entry := range listeners {
		other, clash := pathByAddress[entry.address]
		if clash && entry.address != "" {
			problems = append(problems, check.Problem{Path: entry.path, Value: entry.address, Allowed: "an address other than " + other})
		}
		pathByAddress[entry.address] = entry.path
	}
	return problems
}
