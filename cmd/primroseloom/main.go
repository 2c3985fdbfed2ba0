// Command primroseloom is the operators' tool.
package main

import (
	"github.com/primroseloom/primroseloom/operator/exit"
)

func main() {
	exit.Main(newRoot().Execute)
}
