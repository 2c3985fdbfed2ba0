package dispatch

import "net/http"

// Response is a target's complete response.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// size returns the approximate memory of the response in bytes.
func (r *Response) size() int {
	total := len(r.Body)
	for _, fields := range []http.Header{r.Header, r.Trailer} {
		for name, values := range fields {
			total += len(name)
			for _, value := range values {
				total += len(value)
			}
		}
	}
	return total
}

// Limits bound the memory of Records.
type Limits struct {
	// Records is the maximum number of records of all customers.
	Records int
	// CustomerRecords is the maximum number of records of one customer.
	CustomerRecords int
	// KeptBytes is the maximum memory of all stored responses.
	KeptBytes int
	// CustomerKeptBytes is the maximum memory of one customer's stored responses.
	CustomerKeptBytes int
	// MaxResponseBytes is the size of the largest response that is stored.
	MaxResponseBytes int
}

// DefaultLimits returns the limits of an instance.
func DefaultLimits() Limits {
	return Limits{
		Records:           65536,
		CustomerRecords:   16384,
		KeptBytes:         16 << 20,
		CustomerKeptBytes: 4 << 20,
		MaxResponseBytes:  64 << 10,
	}
}
