package main

import (
	"bytes"
	"strings"
	"unicode"
	"unicode/utf8"
)

// column is a column of a table. Width is its least width.
type column struct {
	name  string
	width int
	right bool
}

// table prints rows in columns that fit in width.
type table struct {
	width      int
	hideHeader bool
	// fixed gives columns their least width, so that pages line up.
	fixed   bool
	columns []column
	rows    [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// text returns the table's lines. Where the widest cells do not fit, the
// widest columns are shortened, but never below their least width.
func (t *table) text() []byte {
	widths := t.widths()
	var b bytes.Buffer
	if !t.hideHeader {
		header := make([]string, len(t.columns))
		for i, c := range t.columns {
			header[i] = strings.ToUpper(c.name)
		}
		t.line(&b, widths, header)
	}
	for _, row := range t.rows {
		t.line(&b, widths, row)
	}
	return b.Bytes()
}

func (t *table) widths() []int {
	widths := make([]int, len(t.columns))
	total := len(t.columns) - 1
	for i, c := range t.columns {
		if t.fixed {
			widths[i] = c.width
			continue
		}
		widths[i] = len(c.name)
		for _, row := range t.rows {
			widths[i] = max(widths[i], utf8.RuneCountInString(row[i]))
		}
		total += widths[i]
	}
	for total > t.width {
		widest := -1
		for i, c := range t.columns {
			if widths[i] > c.width && (widest < 0 || widths[i]-c.width > widths[widest]-t.columns[widest].width) {
				widest = i
			}
		}
		if widest < 0 {
			return widths
		}
		widths[widest]--
		total--
	}
	return widths
}

func (t *table) line(b *bytes.Buffer, widths []int, cells []string) {
	var line strings.Builder
	for i, cell := range cells {
		if i > 0 {
			line.WriteByte(' ')
		}
		cell = shorten(cell, widths[i])
		padding := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell))
		if t.columns[i].right {
			line.WriteString(padding + cell)
		} else {
			line.WriteString(cell + padding)
		}
	}
	b.WriteString(strings.TrimRight(line.String(), " "))
	b.WriteByte('\n')
}

// shorten replaces the middle of a cell that is too wide by "..".
func shorten(cell string, width int) string {
	runes := []rune(printable(cell))
	if len(runes) <= width {
		return string(runes)
	}
	tail := (width - 2) / 2
	head := width - 2 - tail
	return string(runes[:head]) + ".." + string(runes[len(runes)-tail:])
}

// printable replaces characters that could control the operator's terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}
