package events

import "github.com/charmbracelet/log"

// Events of the evidence exchange.
var (
	EvidenceReadFailed = define(3101, log.WarnLevel, "evidence read failed",
		"Reading the UDP socket for evidence of other VMs failed; it is retried after a pause.")
	EvidenceSendFailed = define(3102, log.WarnLevel, "evidence not sent",
		"A datagram to another VM could not be sent; the next one repeats most of its content.")
	DatagramRefused = define(3105, log.WarnLevel, "datagram refused",
		"A datagram could not be decoded, or belongs to another fleet or to this VM itself; nothing of it was applied. At most one in ten seconds is logged, datagrams_refused counts all.")
	EvidenceReconciled = define(3103, log.InfoLevel, "evidence about requests reconciled",
		"This VM and another one knew different requests that crash targets for a while, since datagrams were lost, and exchanged what they know; equal tells whether they know the same now.")
	ReconciliationFailed = define(3104, log.WarnLevel, "evidence about requests not reconciled",
		"The exchange with a VM that knows different requests, or has told nothing of what it knows, failed; it is tried again, with any such VM.")
)
