package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"gentianpond/internal/settings/checker"
	"gentianpond/internal/settings/loader"
)

const helpCheck = `Check a file and report every fault with its line and column.

The kind is document (the configuration document), entry or control (the
settings of a host).`

// newCheckCommand returns the command that reports the faults of a configuration
// document or of a settings file.
func newCheckCommand() command {
	sub := newSubcommand("check", helpCheck)
	kind := "document"
	var path string
	sub.String(&kind, "k", "kind", "What the file holds: document, entry or control.")
	sub.AddPositionalValue(&path, "file", 1, true, "File to check.")
	return command{sub: sub, run: func(context.Context) error {
		if err := checkFile(kind, path); err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		fmt.Println(path, "is correct")
		return nil
	}}
}

// checkFile parses the file at path as the given kind and returns its faults as an
// error. It prints warnings to standard error.
func checkFile(kind, path string) error {
	switch kind {
	case "document":
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		_, err = checker.ParseDocument(path, text)
		return err
	case "entry":
		_, warnings, err := loader.ReadEntry(path)
		printWarnings(path, warnings)
		return err
	case "control":
		_, warnings, err := loader.ReadControl(path)
		printWarnings(path, warnings)
		return err
	default:
		return errors.Errorf("unknown kind %q", kind)
	}
}
