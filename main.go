// Command citronslip is a router fleet for prepaid token budgets.
package main

import (
	"os"

	"citronslip/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
