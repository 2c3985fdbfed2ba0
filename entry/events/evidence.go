package events

import "github.com/charmbracelet/log"

// Events of the evidence exchange.
var (
	EvidenceReadFailed = define(3101, log.WarnLevel, "evidence read failed",
		"Reading the UDP socket for evidence of other VMs failed; it is retried after a pause.")
	EvidenceSendFailed = define(3102, log.WarnLevel, "evidence not sent",
		"A datagram to another VM could not be sent; the next one repeats most of its content.")
)
