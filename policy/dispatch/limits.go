package dispatch

import "net/http"

// Response is a target's whole answer.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// size is the memory that an answer takes, in bytes.
func (a *Response) size() int {
	total := len(a.Body)
	for _, fields := range []http.Header{a.Header, a.Trailer} {
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
	// Records is the number of records of all customers.
	Records int
	// CustomerRecords is the number of records of one customer.
	CustomerRecords int
	// KeptBytes is the memory of all kept answers.
	KeptBytes int
	// CustomerKeptBytes is the memory of one customer's kept answers.
	CustomerKeptBytes int
	// MaxResponseBytes is the largest answer that is kept.
	MaxResponseBytes int
}

// DefaultLimits are the limits of an instance.
func DefaultLimits() Limits {
	return Limits{
		Records:           65536,
		CustomerRecords:   16384,
		KeptBytes:         16 << 20,
		CustomerKeptBytes: 4 << 20,
		MaxResponseBytes:  64 << 10,
	}
}
