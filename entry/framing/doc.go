// Package framing refuses requests whose length can be read in two ways: those that name both a
// Content-Length and a Transfer-Encoding. A sender or proxy before this one may have taken the other
// way, so that the bytes behind the request would be those of a request that nobody sent.
//
// net/http's server drops the Content-Length of such a request and serves it. A Conn of this package
// follows the requests on a caller's connection as the server does and, behind the second of the two
// fields, hands a malformed line to the server, which then answers 400 and closes the connection.
// Two different lengths are refused by the server itself.
//
// Connections of HTTP/2 pass unchanged.
package framing
