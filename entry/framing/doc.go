// Package framing follows the requests on a caller's connection, as net/http's server does: it finds where
// each ends. A Conn counts the requests that have arrived whole (entry/readahead uses the number) and makes
// its server refuse those whose length can be read in two ways: those that name both a Content-Length and a
// Transfer-Encoding, or two different lengths. A sender or proxy before this one may have taken the other
// way, so that the bytes behind the request would be those of a request that nobody sent.
//
// net/http's server drops the Content-Length of a request with both and serves it. Behind the second of
// the two fields, a Conn hands a malformed line to the server, which then answers 400 and closes the
// connection. The same is done where the end of a request can't be found.
//
// A Conn also reserves what net/http keeps of a head, by its bytes and fields as they arrive, before the server
// gets them (memory.go). Without room, the request is refused with 503 or the connection ends.
//
// Connections of HTTP/2 pass unchanged, once they have reserved a fixed amount.
package framing
