// Package draining ends a server of callers in a planned stop without losing a request that has
// arrived: those in progress, those in a row behind them on the same connections, and the first ones of
// connections that were accepted last.
//
// net/http's own Shutdown closes a connection after the request in progress, and reads the first request
// of a new connection without a response. It is called only once nothing of that kind is left.
package draining
