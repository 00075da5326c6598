package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// editFile writes the tables to a temporary file and starts the editor until
// the file can be parsed or the operator gives up. It returns the file's name
// and the edited text without the first line that get writes.
func (p *program) editFile(ctx context.Context, tables *dhpb.GetTablesResponse) (file string, text []byte, err error) {
	f, err := os.CreateTemp(p.Getenv("TMPDIR"), "dandelionhoist-*.json")
	if err != nil {
		return "", nil, exitUsage(err)
	}
	_, err = f.Write(addRevisionLine(tables.GetRevision(), tables.GetTables()))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return "", nil, exitUsage(err)
	}
	answers := bufio.NewScanner(p.In)
	for {
		if err := p.startEditor(ctx, f.Name()); err != nil {
			return "", nil, err
		}
		data, err := os.ReadFile(f.Name())
		if err != nil {
			return "", nil, exitUsage(err)
		}
		err = p.checkEdited(f.Name(), tables.GetTables(), data)
		if err == nil {
			text, _, _ := cutRevisionLine(data)
			return f.Name(), text, nil
		}
		fmt.Fprintf(p.Err, "%v\nedit again? [Y/n] ", err)
		if !answers.Scan() || strings.HasPrefix(strings.ToLower(strings.TrimSpace(answers.Text())), "n") {
			fmt.Fprintln(p.Err)
			return "", nil, exitError{dhcode.ClassInvalid, fmt.Errorf("nothing was sent; the edited tables are kept in %s", f.Name())}
		}
	}
}

// startEditor runs the operator's editor. Only the dandelionhoist command starts
// other programs; the daemons start none.
func (p *program) startEditor(ctx context.Context, file string) error {
	words := strings.Fields(firstNonEmpty(p.Getenv("VISUAL"), p.Getenv("EDITOR"), "vi"))
	cmd := exec.CommandContext(ctx, words[0], append(words[1:], file)...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = p.In, p.Err, p.Err
	if err := cmd.Run(); err != nil {
		return usageError("editor %q: %w; the tables are in %s", strings.Join(words, " "), err, file)
	}
	return nil
}

func removeFile(file string) error {
	if err := os.Remove(file); err != nil {
		return exitUsage(err)
	}
	return nil
}
