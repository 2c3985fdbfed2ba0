package events

import "github.com/charmbracelet/log"

// Events of reading the store of routes and targets.
var (
	StoreUnreachable = define(2101, log.WarnLevel, "store lost",
		"A call to the store failed; the instance continues with the items it has and fetches newer ones from other instances.")
	StoreRegained = define(2102, log.InfoLevel, "store reachable again",
		"The store answers again.")
	StoreHistoryGone = define(2103, log.InfoLevel, "store history gone",
		"The store no longer has the changes after the revision; all entries are listed again.")
	EntryUnusable = define(2104, log.WarnLevel, "published entry unusable",
		"The entry cannot be decoded and yields no target or routes; the other entries stay in use. Logged once until the entry can be used; the gauge follow_unusable counts such entries. Contact whoever wrote it.")
	RoutesInForce = define(2105, log.InfoLevel, "routes in force",
		"This version of the routes is used from now on.")
	RoutesRefused = define(2106, log.ErrorLevel, "routes refused",
		"A version of the routes is invalid; the previous version stays in force.")
	RoutesProblem = define(2112, log.WarnLevel, "part of the routes restricted",
		"A part of this version of the routes cannot be used as it is: a customer is left out or keeps its previous definition, or a route is served at most once. The rest is in force. Contact whoever published it.")
	ListingDropped = define(2109, log.WarnLevel, "older listing dropped",
		"The store, or another instance, returned a state that is older than the one this instance has; it is ignored. Logged once until a newer state arrives.")
	StoreRestored = define(2110, log.WarnLevel, "store restored from a copy",
		"The store's era has risen: it has lost what was written after the copy, and assigns revisions again.")
	EntryOutdated = define(2111, log.InfoLevel, "outdated entry of a target ignored",
		"A store that was restored from a copy returned an older report of a target than is known; the target keeps its state until it reports anew.")
	KeysNotCurrent = define(2113, log.WarnLevel, "keys not current",
		"The instance cannot show that its routes are new enough to serve requests with keys. It forwards them to instances that can, or refuses them; public routes are served. newest_version above version means that it knows of routes which it does not have.")
	KeysCurrent = define(2114, log.InfoLevel, "keys current again",
		"The instance's routes were confirmed; it serves requests with keys.")
	ConfirmationFailed = define(2115, log.InfoLevel, "confirmation of the routes failed",
		"Another instance did not confirm the routes; the next one is asked. Logged once until one answers.")
	PeerFeedFailed = define(2108, log.InfoLevel, "fetch of published items from another instance failed",
		"No other instance returned the items that the store publishes; the fetch is retried.")
	LeftBehind = define(2116, log.WarnLevel, "not fed with what other instances announce",
		"Other instances announce a revision that none of them has given to this one in time; 2108 tells why. It asks the store itself. Logged once until it has caught up.")
	TargetsExpired = define(2107, log.WarnLevel, "targets expired",
		"The entries of these targets did not reappear after the store became reachable again; they are treated as removed.")
)
