package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/mattn/go-isatty"

	"quartzpoint/internal/testkit/experiment"
)

// experimenting is the command that runs an experiment.
type experimenting struct {
	File    string `arg:"" help:"The experiment (TOML), as in experiments/."`
	Results string `default:"results" help:"Where results are kept, in a folder of the experiment's name."`
}

// Run makes what is not there yet, and writes the report.
func (cmd *experimenting) Run() error {
	e, err := experiment.ReadExperiment(cmd.File)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	folder := filepath.Join(cmd.Results, e.Name)
	var runs []experiment.Run
	if isatty.IsTerminal(os.Stdout.Fd()) {
		runs, err = watched(ctx, cancel, e, folder)
	} else {
		last := time.Now()
		runs, err = e.Run(ctx, folder, func(r experiment.Run, kept bool, n, of int) {
			if now := time.Now(); now.Sub(last) > 2*time.Second || n == of {
				last = now
				fmt.Printf("%d of %d: %s, %s, seed %d: %.3f\n", n, of, r.Drill, r.Policy, r.Seed, r.GoodputShare())
			}
		})
	}
	if err != nil {
		return fmt.Errorf("%w; what is done is kept in %s, and the same command goes on from there", err, folder)
	}
	if err := e.Report(folder, runs); err != nil {
		return err
	}
	fmt.Println("report:", filepath.Join(folder, "report.html"))
	return experiment.Overall(os.Stdout, experiment.Cells(runs))
}

// progress is the terminal's picture of an experiment that runs.
type progress struct {
	title  string
	began  time.Time
	n, of  int
	kept   int
	latest []string
	cancel context.CancelFunc
}

type doneRun struct {
	run   experiment.Run
	kept  bool
	n, of int
}

type over struct{}

// Init implements tea.Model, as do the methods below it.
func (p progress) Init() tea.Cmd { return nil }

func (p progress) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case doneRun:
		p.n, p.of = m.n, m.of
		if m.kept {
			p.kept++
			break
		}
		p.latest = append(p.latest, fmt.Sprintf("%-18s %-12s seed %-3d honoured %.3f", m.run.Drill, m.run.Policy, m.run.Seed, m.run.GoodputShare()))
		if len(p.latest) > 8 {
			p.latest = p.latest[1:]
		}
	case tea.KeyMsg:
		if s := m.String(); s == "q" || s == "ctrl+c" {
			p.cancel()
		}
	case over:
		return p, tea.Quit
	}
	return p, nil
}

func (p progress) View() string {
	const wide = 50
	full := 0
	if p.of > 0 {
		full = wide * p.n / p.of
	}
	left := ""
	if made := p.n - p.kept; made > 0 {
		left = (time.Since(p.began) / time.Duration(made) * time.Duration(p.of-p.n)).Round(time.Second).String() + " left"
	}
	return fmt.Sprintf("%s\n\n[%s%s] %d of %d, %d kept from before, %s\n\n%s\n\nq: stop; what is done is kept\n", p.title,
		strings.Repeat("#", full), strings.Repeat(".", wide-full), p.n, p.of, p.kept, left, strings.Join(p.latest, "\n"))
}

// watched plays the experiment behind the terminal's picture.
func watched(ctx context.Context, cancel context.CancelFunc, e *experiment.Experiment, folder string) (runs []experiment.Run, err error) {
	screen := tea.NewProgram(progress{title: e.Title, began: time.Now(), cancel: cancel})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runs, err = e.Run(ctx, folder, func(r experiment.Run, kept bool, n, of int) { screen.Send(doneRun{r, kept, n, of}) })
		screen.Send(over{})
	}()
	if _, failed := screen.Run(); failed != nil {
		cancel()
		<-ended
		return nil, fmt.Errorf("terminal: %w", failed)
	}
	<-ended
	return runs, err
}
