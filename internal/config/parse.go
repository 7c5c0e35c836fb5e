package config

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFileBytes limits the size of a file; a larger one is not a configuration file.
const maxFileBytes = 1 << 20

// readFile reads the file at path and parses it as parse does.
func readFile(path string, read func(top *section)) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("configuration file: %w", err)
	}
	if info.Size() > maxFileBytes {
		return fmt.Errorf("configuration file %s: %d bytes, at most %d are allowed", path, info.Size(), maxFileBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("configuration file: %w", err)
	}
	return parse(path, raw, read)
}

// parse parses the content of a file and calls read with its top section. The error joins all FieldErrors, sorted by
// line.
func parse(path string, raw []byte, read func(top *section)) error {
	var values map[string]any
	if err := toml.Unmarshal(raw, &values); err != nil {
		var syntaxErr *toml.DecodeError
		if errors.As(err, &syntaxErr) { // the rest of the file cannot be parsed
			line, column := syntaxErr.Position()
			return &FieldError{File: path, Line: line, Key: fmt.Sprintf("column %d", column), Allowed: syntaxErr.Error()}
		}
		return fmt.Errorf("configuration file %s: %w", path, err)
	}
	p := &parser{file: path, lines: lineIndex(raw)}
	read(p.section("", values))
	slices.SortStableFunc(p.errs, func(a, b *FieldError) int { return a.Line - b.Line })
	all := make([]error, len(p.errs))
	for i, fieldErr := range p.errs {
		all[i] = fieldErr
	}
	return errors.Join(all...)
}

// parser is the state of parsing one file, which its sections share.
type parser struct {
	file  string
	lines map[string]int // by key path
	errs  []*FieldError
}

func (p *parser) section(path string, values map[string]any) *section {
	return &section{parser: p, path: path, values: values}
}

// lineIndex returns the line of each key and table by its path. The path of an item in a list of tables contains its
// index. If a path is repeated, its first line is returned.
func lineIndex(raw []byte) map[string]int {
	index := map[string]int{}
	items := map[string]int{} // number of items so far in each list of tables
	table := ""
	p := unstable.Parser{}
	p.Reset(raw)
	for p.NextExpression() {
		expression := p.Expression()
		if expression.Kind != unstable.Table && expression.Kind != unstable.ArrayTable && expression.Kind != unstable.KeyValue {
			continue
		}
		path, line := keyPosition(&p, expression)
		if expression.Kind == unstable.ArrayTable {
			if _, exists := index[path]; !exists {
				index[path] = line
			}
			items[path]++
			path = fmt.Sprintf("%s.%d", path, items[path]-1)
		}
		if expression.Kind != unstable.KeyValue {
			table = path
		} else if table != "" {
			path = table + "." + path
		}
		if _, exists := index[path]; !exists {
			index[path] = line
		}
	}
	return index
}

// keyPosition returns the dotted key of an expression and the line of its last part.
func keyPosition(p *unstable.Parser, expression *unstable.Node) (key string, line int) {
	var parts []string
	for keys := expression.Key(); keys.Next(); {
		part := keys.Node()
		parts = append(parts, string(part.Data))
		if part.Raw.Length > 0 {
			line = p.Shape(part.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
