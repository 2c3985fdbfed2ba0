// Package readahead notices that a caller has closed its connection while a request of it is
// in progress and further ones wait behind that.
//
// net/http watches a connection during a request by reading one byte. Once a further request
// has arrived, that byte is there, and the end of the connection behind it is seen only after
// the response. A Conn of this package reads on from then, into a bounded buffer, and calls
// those who wait for the end.
//
// It also compares the whole requests that have arrived, with or without a body (entry/framing counts
// them), with those that have begun, so that a server that stops can answer pipelined requests before it
// closes their connection.
//
// A connection that the server closes after a response, while its caller still sends, is read on for a bounded
// time first (linger.go): otherwise the response is lost with it. When connections or memory are used up, a
// Watcher closes the connection that has waited for its caller for the longest (waiting.go), never one whose
// request is being served. What is read ahead, and the heads of HTTP/2, are reserved before they are kept.
package readahead
