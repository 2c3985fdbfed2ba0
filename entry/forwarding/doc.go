// Package forwarding carries a request from the VM that received it to another VM that serves
// it, and the response back, as one stream between VMs.
//
// The first message in each direction holds the head, the following ones hold the body in
// parts of at most maxMessageBytes. The receiving VM sees an *http.Request and writes to an
// http.ResponseWriter; the sending VM gets an *http.Response. A body that breaks off on either
// side breaks off on the other: it never looks complete.
//
// The package resends nothing and decides nothing.
package forwarding
