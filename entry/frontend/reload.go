package frontend

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/entry/targetset"
)

// settingsPollInterval is how often the settings file is read, since it may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// ReadSettings reads and checks a settings file.
func ReadSettings(file string) (settings.Frontend, error) {
	set, _, err := readSettings(file)
	return set, err
}

func readSettings(file string) (settings.Frontend, []byte, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return settings.Frontend{}, nil, fmt.Errorf("read settings: %w", err)
	}
	set, err := settings.ParseFrontend(content)
	if err != nil {
		return settings.Frontend{}, content, fmt.Errorf("settings %s:\n%w", file, err)
	}
	return set, content, nil
}

// FollowSettings applies the settings file at each signal and whenever its
// content has changed, until the context ends.
func (f *Frontend) FollowSettings(ctx context.Context, file string, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	_, last, _ := readSettings(file)
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signaled = true
		case <-ticker.C:
		}
		set, content, err := readSettings(file)
		if !signaled && bytes.Equal(content, last) {
			continue
		}
		last = content
		if err != nil {
			events.SettingsRefused.Log(f.options.Logger, "file", file, "cause", err)
			continue
		}
		f.Reload(set)
	}
}

// Reload applies those of the new settings that may change while running.
func (f *Frontend) Reload(set settings.Frontend) {
	f.settings.Store(&set)
	if level, err := log.ParseLevel(set.LogLevel); err == nil {
		f.options.Logger.SetLevel(level)
	}
	f.targets.SetBudget(targetset.Budget{Ratio: set.Retries.Ratio, Allowance: set.Retries.Allowance})
	f.quotas.SetSettings(quotaSettings(set))
	f.targets.SetHedging(hedgingOf(set))
	events.SettingsReloaded.Log(f.options.Logger, "vm", set.VM)
}
