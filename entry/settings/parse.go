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

// Faults are all faults of one file.
type Faults []check.Problem

// Error renders one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// Parse reads settings over the defaults and checks them. The error is a Faults
// when the file is JSON but its content is not allowed.
func Parse(data []byte) (Settings, error) {
	parsed := Default()
	faults, err := decode(data, &parsed)
	if err != nil {
		return Settings{}, err
	}
	faults = append(faults, validate(parsed)...)
	faults = append(faults, clashes([]listener{
		{"listen.callers", parsed.Listen.Callers},
		{"listen.peers", parsed.Listen.Peers},
		{"listen.admin", parsed.Listen.Admin},
	})...)
	if len(faults) > 0 {
		return Settings{}, faults
	}
	return parsed, nil
}

// decode reads the known fields one by one, so that every fault is found.
func decode(data []byte, into any) (Faults, error) {
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

func decodeObject(path string, fields map[string]json.RawMessage, into reflect.Value) Faults {
	var faults Faults
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
			faults = append(faults, check.Problem{Path: path + name, Value: string(raw), Allowed: "one of the fields " + strings.Join(names, ", ")})
			continue
		}
		faults = append(faults, decodeField(path+name, raw, field)...)
	}
	return faults
}

func decodeField(path string, raw json.RawMessage, into reflect.Value) Faults {
	if into.Kind() == reflect.Struct {
		var inner map[string]json.RawMessage
		if err := json.Unmarshal(raw, &inner); err != nil {
			return Faults{{Path: path, Value: string(raw), Allowed: "an object"}}
		}
		return decodeObject(path+".", inner, into)
	}
	if err := json.Unmarshal(raw, into.Addr().Interface()); err != nil {
		return Faults{{Path: path, Value: string(raw), Allowed: allowedType(into, err)}}
	}
	return nil
}

func allowedType(into reflect.Value, err error) string {
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

// must panics on a registration that the validator refuses, a fault of this package.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func validate(parsed any) Faults {
	var invalid validator.ValidationErrors
	if !errors.As(newValidator().Struct(parsed), &invalid) {
		return nil
	}
	faults := make(Faults, 0, len(invalid))
	for _, fieldError := range invalid {
		_, path, _ := strings.Cut(fieldError.Namespace(), ".")
		faults = append(faults, check.Problem{Path: path, Value: fmt.Sprint(fieldError.Value()), Allowed: allowed(fieldError)})
	}
	return faults
}

// allowed tells what a validation tag takes.
func allowed(fieldError validator.FieldError) string {
	texts := map[string]string{
		"required":        "a value",
		"required_unless": "a file path, or tls.off set to true",
		"name":            "1 to 64 lower-case letters, digits and dashes",
		"address":         "IP:port with a port from 1 to 65535",
		"unique":          "values that differ from one another",
		"oneof":           "one of " + fieldError.Param(),
		"min":             "at least " + fieldError.Param() + unit(fieldError),
		"max":             "at most " + fieldError.Param() + unit(fieldError),
	}
	return texts[fieldError.Tag()]
}

func unit(fieldError validator.FieldError) string {
	if strings.HasSuffix(fieldError.Type().String(), "Duration") {
		return " ns"
	}
	return ""
}

// listener is the path of a setting and the address it holds.
type listener struct{ path, address string }

// clashes finds listeners that share an address.
func clashes(listeners []listener) Faults {
	var faults Faults
	taken := make(map[string]string)
	for _, entry := range listeners {
		other, clash := taken[entry.address]
		if clash && entry.address != "" {
			faults = append(faults, check.Problem{Path: entry.path, Value: entry.address, Allowed: "an address other than " + other})
		}
		taken[entry.address] = entry.path
	}
	return faults
}
