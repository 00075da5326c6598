package main

import (
	"bytes"
	"strings"
	"unicode"
	"unicode/utf8"
)

// column describes a column of a table. It is never shortened below minWidth.
type column struct {
	name       string
	minWidth   int
	alignRight bool
}

// table formats rows in columns that fit in width.
type table struct {
	width      int
	hideHeader bool
	// fixedWidths gives each column its minWidth, so that the columns of all
	// pages are aligned.
	fixedWidths bool
	columns     []column
	rows        [][]string
}

func (t *table) addRow(cells ...string) { t.rows = append(t.rows, cells) }

// render returns the table's lines. If the widest cells do not fit, the columns
// that exceed their minWidth most are shortened, but never below it.
func (t *table) render() []byte {
	widths := t.widths()
	var b bytes.Buffer
	if !t.hideHeader {
		header := make([]string, len(t.columns))
		for i, c := range t.columns {
			header[i] = strings.ToUpper(c.name)
		}
		t.writeRow(&b, widths, header)
	}
	for _, row := range t.rows {
		t.writeRow(&b, widths, row)
	}
	return b.Bytes()
}

func (t *table) widths() []int {
	widths := make([]int, len(t.columns))
	total := len(t.columns) - 1
	for i, c := range t.columns {
		if t.fixedWidths {
			widths[i] = c.minWidth
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
			if widths[i] > c.minWidth && (widest < 0 || widths[i]-c.minWidth > widths[widest]-t.columns[widest].minWidth) {
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

func (t *table) writeRow(b *bytes.Buffer, widths []int, cells []string) {
	var line strings.Builder
	for i, cell := range cells {
		if i > 0 {
			line.WriteByte(' ')
		}
		cell = truncateMiddle(cell, widths[i])
		padding := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell))
		if t.columns[i].alignRight {
			line.WriteString(padding + cell)
		} else {
			line.WriteString(cell + padding)
		}
	}
	b.WriteString(strings.TrimRight(line.String(), " "))
	b.WriteByte('\n')
}

// truncateMiddle replaces the middle of a cell that is too wide with "..".
func truncateMiddle(cell string, width int) string {
	runes := []rune(replaceUnprintable(cell))
	if len(runes) <= width {
		return string(runes)
	}
	tail := (width - 2) / 2
	head := width - 2 - tail
	return string(runes[:head]) + ".." + string(runes[len(runes)-tail:])
}

// replaceUnprintable replaces characters that could control the operator's terminal.
func replaceUnprintable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}
