// Command primroseloomd is the daemon that runs on each entry VM.
package main

import (
	"github.com/primroseloom/primroseloom/operator/exit"
)

func main() {
	exit.Main(newRoot().Execute)
}
