package events

import "github.com/charmbracelet/log"

// Events of the peer protocol and the membership.
var (
	MemberJoined = define(3001, log.InfoLevel, "member joined",
		"Another instance of the fleet was seen for the first time.")
	MemberLost = define(3002, log.WarnLevel, "member lost",
		"An instance no longer answers; it leaves the directory's answers.")
)
