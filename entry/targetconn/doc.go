// Package targetconn sends requests to targets, each once, over connections
// that it keeps and counts.
//
// A Pool holds the connections of this VM to one target. Send takes one,
// writes a request to it and returns the answer's head together with an
// Exchange. Nothing here sends a request a second time: whether that is safe
// is for the caller to decide. A connection is used again only when the caller
// trusts the answer and the answer was read to its end.
package targetconn
