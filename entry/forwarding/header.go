package forwarding

import (
	"net/http"

	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// FieldsOf returns the fields of a header as messages.
func FieldsOf(header http.Header) []*primroseloomv1.HeaderField {
	var fields []*primroseloomv1.HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &primroseloomv1.HeaderField{Name: []byte(name), Value: []byte(value)})
		}
	}
	return fields
}

// HeaderOf returns the header of fields.
func HeaderOf(fields []*primroseloomv1.HeaderField) http.Header {
	header := make(http.Header)
	for _, field := range fields {
		header.Add(string(field.GetName()), string(field.GetValue()))
	}
	return header
}
