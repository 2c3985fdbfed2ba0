package events

import "github.com/charmbracelet/log"

// Events of following the store.
var (
	StoreLost = define(2101, log.WarnLevel, "store lost",
		"A call of the store failed; the instance goes on with what it knows and asks other instances.")
	StoreRegained = define(2102, log.InfoLevel, "store regained",
		"The store answers again.")
	StoreHistoryGone = define(2103, log.InfoLevel, "store history gone",
		"The store no longer has the changes after the revision; everything is listed anew.")
	EntryUnusable = define(2104, log.WarnLevel, "published entry unusable",
		"The entry cannot be read and names no target or routes to use; the others hold. Ask who wrote it.")
	RoutesInForce = define(2105, log.InfoLevel, "routes in force",
		"This version of the routes is used from now on.")
	RoutesRefused = define(2106, log.ErrorLevel, "routes refused",
		"A version of the routes cannot be used as it stands; the one before stays in force.")
	PeerFeedFailed = define(2108, log.InfoLevel, "other instance not heard on published items",
		"No other instance answered for what the store publishes; the next try follows.")
	TargetsExpired = define(2107, log.WarnLevel, "targets lapsed",
		"These targets' entries did not come back after the store's return; they are taken as gone.")
)
