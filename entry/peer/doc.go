// Package peer talks to the other instances of the fleet.
//
// The Manager drives the membership state machine of policy/membership: it
// feeds it the clock and what arrives, and carries out its actions over
// connect-go on HTTP/2. It implements contract.Members and contract.News, and
// serves the peer protocol. Calls for configuration and for forwarded requests
// go to the delegates that the other children provide.
//
// Instances prove that they belong to the fleet by mutual TLS: each
// certificate comes from the fleet's authority and carries the fleet's DNS
// name. Every message also names the fleet.
//
// One pool holds an HTTP/2 connection for each peer in use. A probe that fails
// is repeated over a new connection, which takes the old one's place when it
// works: a connection that has gone silent is not mistaken for a dead VM.
package peer
