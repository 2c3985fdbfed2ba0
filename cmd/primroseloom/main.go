// Command primroseloom is the command-line tool for operators.
package main

import (
	"github.com/primroseloom/primroseloom/operator/exit"
)

func main() {
	exit.Main(newRoot().Execute)
}
