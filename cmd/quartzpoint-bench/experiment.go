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

// experimentCommand runs an experiment: drills with several policies and seeds.
type experimentCommand struct {
	File    string `arg:"" help:"The experiment file (TOML), as in experiments/."`
	Results string `default:"results" help:"Folder for the results; each experiment writes to a subfolder with its name."`
}

// Run executes the runs that are not stored yet, and writes the report.
func (cmd *experimentCommand) Run() error {
	e, err := experiment.ReadExperiment(cmd.File)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	folder := filepath.Join(cmd.Results, e.Name)
	var runs []experiment.Run
	if isatty.IsTerminal(os.Stdout.Fd()) {
		runs, err = runWithProgress(ctx, cancel, e, folder)
	} else {
		last := time.Now()
		runs, err = e.Run(ctx, folder, func(r experiment.Run, stored bool, ended, total int) {
			if now := time.Now(); now.Sub(last) > 2*time.Second || ended == total {
				last = now
				fmt.Printf("%d of %d: %s, %s, seed %d: %.3f\n", ended, total, r.Drill, r.Policy, r.Seed, r.GoodputShare())
			}
		})
	}
	if err != nil {
		return fmt.Errorf("%w; the finished runs are stored in %s, and the same command resumes the experiment", err, folder)
	}
	if err := e.Report(folder, runs); err != nil {
		return err
	}
	fmt.Println("report:", filepath.Join(folder, "report.html"))
	return experiment.Overall(os.Stdout, experiment.Cells(runs))
}

// progressView shows the progress of an experiment on the terminal.
type progressView struct {
	title        string
	startedAt    time.Time
	ended, total int
	stored       int
	latest       []string
	cancel       context.CancelFunc
}

type runEnded struct {
	run          experiment.Run
	stored       bool
	ended, total int
}

type experimentEnded struct{}

// Init implements tea.Model.
func (p progressView) Init() tea.Cmd { return nil }

// Update implements tea.Model.
func (p progressView) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case runEnded:
		p.ended, p.total = m.ended, m.total
		if m.stored {
			p.stored++
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
	case experimentEnded:
		return p, tea.Quit
	}
	return p, nil
}

// View implements tea.Model.
func (p progressView) View() string {
	const width = 50
	filled := 0
	if p.total > 0 {
		filled = width * p.ended / p.total
	}
	timeLeft := ""
	if executed := p.ended - p.stored; executed > 0 {
		timeLeft = (time.Since(p.startedAt) / time.Duration(executed) * time.Duration(p.total-p.ended)).Round(time.Second).String() + " left"
	}
	return fmt.Sprintf("%s\n\n[%s%s] %d of %d, %d stored earlier, %s\n\n%s\n\nq: stop; finished runs are kept\n", p.title,
		strings.Repeat("#", filled), strings.Repeat(".", width-filled), p.ended, p.total, p.stored, timeLeft, strings.Join(p.latest, "\n"))
}

// runWithProgress runs the experiment and shows its progress in a progressView. cancel cancels ctx.
func runWithProgress(ctx context.Context, cancel context.CancelFunc, e *experiment.Experiment, folder string) (runs []experiment.Run, err error) {
	screen := tea.NewProgram(progressView{title: e.Title, startedAt: time.Now(), cancel: cancel})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runs, err = e.Run(ctx, folder, func(r experiment.Run, stored bool, ended, total int) { screen.Send(runEnded{r, stored, ended, total}) })
		screen.Send(experimentEnded{})
	}()
	if _, screenErr := screen.Run(); screenErr != nil {
		cancel()
		<-ended
		return nil, fmt.Errorf("terminal: %w", screenErr)
	}
	<-ended
	return runs, err
}
