// Package peer implements the communication with the other instances of the fleet.
//
// The Manager drives the membership state machine of policy/membership: it
// passes it the time and the received messages, and carries out its actions
// over connect-go on HTTP/2. It implements contract.Members and contract.News,
// and serves the peer protocol. Calls for configuration, forwarded requests and
// leases go to delegates, which other packages provide.
//
// Instances prove that they belong to the fleet by mutual TLS: each
// certificate is issued by the fleet's certificate authority and carries the
// fleet's DNS name. Every message also names the fleet.
//
// A pool keeps one HTTP/2 connection to each peer in use. A failed probe is
// retried over a new connection, which replaces the old one if the retry
// succeeds, so that an unresponsive connection is not mistaken for a dead VM.
package peer
