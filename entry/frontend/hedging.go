package frontend

import (
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/policy/hedge"
)

// hedgingOf returns what the settings allow of second attempts.
func hedgingOf(set settings.Frontend) hedge.Settings {
	return hedge.Settings{Ratio: set.Hedging.Ratio, MinDelay: set.Hedging.MinDelay.Std()}
}
