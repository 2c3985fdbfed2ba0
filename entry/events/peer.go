package events

import "github.com/charmbracelet/log"

// Events of the peer protocol and the membership.
var (
	MemberJoined = define(3001, log.InfoLevel, "member joined",
		"Another instance of the fleet, or a new process on its VM, was seen for the first time.")
	MemberLost = define(3002, log.WarnLevel, "member lost",
		"An instance departed, or did not refute a suspicion in time; it is no longer a member.")
	MemberSuspected = define(3003, log.WarnLevel, "member suspected",
		"All probes of an instance failed; it is left out of directory responses and may refute the suspicion.")
	MemberRefuted = define(3004, log.InfoLevel, "member refuted suspicion",
		"A suspected instance refuted the suspicion itself and is advertised to callers again.")
	MemberUnreachable = define(3005, log.WarnLevel, "member unreachable from here",
		"This instance reaches no other instance, so it does not spread its suspicion of the member. Check this instance's network.")
	MemberLeaving = define(3006, log.InfoLevel, "member leaving",
		"An instance began a planned stop and is left out of directory responses.")
	MemberHeldDown = define(3007, log.WarnLevel, "member held down",
		"An instance was suspected repeatedly; it is left out of directory responses for increasingly long times. Check its network.")
	SelfRefuted = define(3008, log.WarnLevel, "suspicion of this instance refuted",
		"Other instances considered this instance suspect or dead; it announced that it is alive.")
	SelfSuperseded = define(3009, log.ErrorLevel, "newer process of this VM exists",
		"A newer process runs under this VM's name; this one accepts no more callers. Stop one of them.")
	MemberRefused = define(3010, log.WarnLevel, "unknown member refused",
		"The member table is full or too many unknown members arrive; no more are accepted.")
	JoinFailed = define(3011, log.WarnLevel, "join failed",
		"A peer address outside the current membership did not answer; others are tried.")
	ForeignPeerRefused = define(3012, log.WarnLevel, "foreign peer refused",
		"A peer belongs to another fleet, or its certificate is not one of this fleet.")
	ProcessPaused = define(3013, log.WarnLevel, "process was paused",
		"The process did not run for a while; it checks its view of the fleet before it dispatches again.")
	PeerTLSOff = define(3014, log.WarnLevel, "TLS between instances is off",
		"Anyone who reaches the peer listener can pose as a member. Turn TLS on outside of tests.")
	PeerKeysLoaded = define(3015, log.InfoLevel, "peer keys loaded",
		"The certificate, key and authority for the peer protocol were read and are in use.")
	PeerKeysRejected = define(3016, log.ErrorLevel, "peer keys rejected",
		"The files for the peer protocol were replaced by ones that cannot be used; the previous keys stay in use.")
)
