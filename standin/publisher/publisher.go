// Package publisher publishes a deployment file to the platform stand-in, and
// publishes it again whenever the file changes.
package publisher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/primroseloom/primroseloom/config/check"
	"github.com/primroseloom/primroseloom/config/document"
)

// pollInterval is how often the file is checked for changes.
const pollInterval = 200 * time.Millisecond

// Store publishes a deployment as a generation.
type Store interface {
	PublishDeployment(deployment document.Deployment, generation uint64) error
}

// Publisher publishes one deployment file.
type Publisher struct {
	store  Store
	file   string
	report io.Writer

	content    []byte
	generation uint64
}

// New returns a publisher of file that writes its progress and errors to report, for
// a person to read.
func New(store Store, file string, report io.Writer) *Publisher {
	return &Publisher{store: store, file: file, report: report}
}

// Run publishes the file and each change of it until the context ends.
func (p *Publisher) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := p.publishIfChanged(); err != nil {
			_, _ = fmt.Fprintln(p.report, "not published:", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Publisher) publishIfChanged() error {
	content, err := os.ReadFile(p.file)
	if err != nil {
		return fmt.Errorf("read %s: %w", p.file, err)
	}
	if bytes.Equal(content, p.content) {
		return nil
	}
	p.content = content
	return p.publish(content)
}

func (p *Publisher) publish(content []byte) error {
	deployment, problems := check.Parse(content)
	if len(problems) > 0 {
		failures := make([]error, 0, len(problems))
		for _, problem := range problems {
			failures = append(failures, problem)
		}
		return fmt.Errorf("%s:\n%w", p.file, errors.Join(failures...))
	}
	generation := max(p.generation+1, uint64(time.Now().UnixMilli()))
	if err := p.store.PublishDeployment(deployment, generation); err != nil {
		return fmt.Errorf("publish %s: %w", p.file, err)
	}
	p.generation = generation
	_, _ = fmt.Fprintf(p.report, "published generation %d of %s\n", generation, p.file)
	return nil
}
