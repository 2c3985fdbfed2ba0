package template

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"github.com/primroseloom/primroseloom/config/document"
)

// Range of a deadline.
const (
	MinDeadline = time.Millisecond
	MaxDeadline = 10 * time.Minute
)

var (
	namePattern      = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	parameterPattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)
	headerPattern    = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
	hostPattern      = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*$`)
)

// rules are the checks that the document types name in their validate tags.
var rules = map[string]struct {
	check   func(reflect.Value) bool
	allowed string
}{
	"name":          {matches(namePattern), "lower-case letters, digits and inner hyphens, at most 63 characters"},
	"parametername": {matches(parameterPattern), "a lower-case letter, then letters, digits and underscores, at most 63 characters"},
	"headername":    {matches(headerPattern), "a header field name of letters, digits and hyphens"},
	"routehost":     {isRouteHost, "a host name in lower case without a port, never an IP address"},
	"ipport":        {isIPPort, "IP:port with a port from 1 to 65535"},
	"deadline":      {isDeadline, fmt.Sprintf("a duration from %s to %s", MinDeadline, MaxDeadline)},
}

// allowedTexts describes the validator library's own rules; %s is the rule's parameter.
var allowedTexts = map[string]string{
	"required":   "required",
	"min":        "at least %s",
	"max":        "at most %s",
	"gt":         "more than %s",
	"gte":        "at least %s",
	"lte":        "at most %s",
	"gtefield":   "at least the value of %s",
	"oneof":      "one of %s",
	"startswith": "must start with %s",
	"unique":     "no entry twice",
	"sha256":     "a SHA-256 digest in lower-case hex, 64 characters",
}

// NewValidator returns a validator with the rules of the document types; its
// paths use the JSON names.
func NewValidator() *validator.Validate {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	for tag, rule := range rules {
		validate := func(field validator.FieldLevel) bool { return rule.check(field.Field()) }
		if err := check.RegisterValidation(tag, validate); err != nil {
			panic(fmt.Sprintf("register validation %s: %v", tag, err))
		}
	}
	return check
}

func matches(pattern *regexp.Regexp) func(reflect.Value) bool {
	return func(value reflect.Value) bool { return pattern.MatchString(value.String()) }
}

func isRouteHost(value reflect.Value) bool {
	host := value.String()
	if _, err := netip.ParseAddr(host); err == nil {
		return false
	}
	return len(host) <= 253 && hostPattern.MatchString(host)
}

func isIPPort(value reflect.Value) bool {
	address, err := netip.ParseAddrPort(value.String())
	return err == nil && address.Port() != 0
}

func isDeadline(value reflect.Value) bool {
	deadline := document.Duration(value.Int()).Std()
	return deadline >= MinDeadline && deadline <= MaxDeadline
}

// problemPath replaces the struct name at the start of a validator namespace by the prefix.
func problemPath(prefix, namespace string) string {
	_, rest, _ := strings.Cut(namespace, ".")
	if prefix == "" {
		return rest
	}
	return prefix + "." + rest
}

func allowedText(field validator.FieldError) string {
	if rule, ok := rules[field.Tag()]; ok {
		return rule.allowed
	}
	text, ok := allowedTexts[field.Tag()]
	if !ok {
		return field.Tag()
	}
	if strings.Contains(text, "%s") {
		return fmt.Sprintf(text, field.Param())
	}
	return text
}
