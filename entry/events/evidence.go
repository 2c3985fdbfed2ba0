package events

import "github.com/charmbracelet/log"

// Events of the exchange of evidence.
var (
	EvidenceReadFailed = define(3101, log.WarnLevel, "evidence unreadable",
		"The UDP socket for evidence of other VMs failed; reading goes on after a pause.")
	EvidenceSendFailed = define(3102, log.WarnLevel, "evidence not sent",
		"A datagram to another VM could not be sent; the next one repeats most of it.")
)
