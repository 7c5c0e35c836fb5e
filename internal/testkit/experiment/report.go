package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"runtime/debug"
)

// Report writes tables, charts and one self-contained HTML page into the folder, with a copy of the experiment file.
func (e *Experiment) Report(folder string, runs []Run) error {
	cells := Cells(runs)
	var table, overall bytes.Buffer
	if err := errors.Join(Table(&table, cells), Overall(&overall, cells)); err != nil {
		return err
	}
	type picture struct {
		Title string
		SVG   template.HTML
	}
	page := struct {
		Experiment      *Experiment
		Overall, Table  string
		Pictures        []picture
		Runs            int
		Made, Text, Env string
	}{Experiment: e, Overall: overall.String(), Table: table.String(), Runs: len(runs), Text: string(e.raw)}
	if info, known := debug.ReadBuildInfo(); known {
		page.Env = info.GoVersion
	}
	write := func(name string, raw []byte) error {
		if err := os.WriteFile(filepath.Join(folder, name), raw, 0o644); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		return nil
	}
	chart := func(name, title string, draw func(format Format) ([]byte, error)) error {
		for _, format := range []Format{SVG, PNG} {
			raw, err := draw(format)
			if err != nil {
				return err
			}
			if format == SVG {
				start := max(bytes.Index(raw, []byte("<svg")), 0)                                 // skip the XML declaration, which is not allowed within HTML
				page.Pictures = append(page.Pictures, picture{title, template.HTML(raw[start:])}) // drawn by this package, so safe to include unescaped
			}
			if err := write(name+"."+string(format), raw); err != nil {
				return err
			}
		}
		return nil
	}
	if err := chart("overall", "All drills", func(format Format) ([]byte, error) { return OverallChart(cells, format) }); err != nil {
		return err
	}
	for _, d := range e.drills {
		err := chart("drill-"+d.Name, d.Title, func(format Format) ([]byte, error) { return SecondsChart(cells, d.Name, d.Title, format) })
		if err != nil {
			return err
		}
	}
	var html bytes.Buffer
	if err := pageTemplate().Execute(&html, page); err != nil {
		return fmt.Errorf("render report page: %w", err)
	}
	return errors.Join(
		write("report.html", html.Bytes()), write("experiment.toml", e.raw),
		write("table.txt", append(overall.Bytes(), append([]byte("\n"), table.Bytes()...)...)),
	)
}

func pageTemplate() *template.Template {
	return template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Experiment.Name}}</title>
<style>body{font:15px/1.45 sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}pre{overflow-x:auto;font-size:12px}svg{max-width:100%;height:auto}</style>
<h1>{{if .Experiment.Title}}{{.Experiment.Title}}{{else}}{{.Experiment.Name}}{{end}}</h1>
<p>{{.Runs}} runs in simulated time, {{.Experiment.Seeds}} seeds. Honoured is the part of the offered importance that was answered with a
result within its contract time. Differences are seed by seed with the first policy; intervals are 95%, by Student's t over seeds.</p>
<h2>Overall</h2><pre>{{.Overall}}</pre>
{{range .Pictures}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
<h2>All figures</h2><pre>{{.Table}}</pre>
<h2>What made it</h2><pre>{{.Text}}</pre><p>{{.Env}}</p></html>
`))
}
