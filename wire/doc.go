// Package wire holds the schema of the protocol between the instances of one
// fleet and the code generated from it.
//
// The schema is in proto/primroseloom/v1. The messages are generated
// into primroseloomv1 and the connect-go client and handler into
// primroseloomv1connect; both are committed, so a build needs no generator.
// scripts/generate.sh generates them again.
package wire
