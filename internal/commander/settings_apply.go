package commander

import (
	"context"
	"fmt"
	"io/fs"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/pkg/configurer"
)

const settingsApplyUsage = "create and replace documents of the settings tree from a directory, in one change"

func settingsApplyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       settingsApplyUsage,
		Description: "DIRECTORY holds policy.toml, teams/<team>.toml, pools/<pool>.toml, queues/<queue>.toml and waves/<wave>.toml.",
		ArgsUsage:   "DIRECTORY",
		Flags: append(changeFlags(),
			&cli.BoolFlag{
				Name:  "prune",
				Usage: "remove documents that are not in DIRECTORY",
			},
			&cli.BoolFlag{
				Name:  "dry-run",
				Usage: "print the changes without making them",
			},
		),
		Action: runSettingsApply,
	}
}

func runSettingsApply(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	texts, err := readDocuments(args[0])
	if err != nil {
		return fmt.Errorf("settings apply: %w", err)
	}
	client, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	listing, err := listDocuments(ctx, client, "")
	if err != nil {
		return fmt.Errorf("settings apply: %w", err)
	}
	change := configurer.Change{
		Author: cmd.String("author"),
		Edits:  editsBetween(listing.Documents, texts, cmd.Bool("prune")),
	}
	if len(change.Edits) == 0 {
		_, err := fmt.Fprintf(cmd.Root().Writer, "no changes at revision %d\n", listing.Revision)
		return err
	}
	if cmd.Bool("dry-run") {
		return printEdits(cmd, change.Edits)
	}
	if change.ID, err = changeID(cmd); err != nil {
		return err
	}
	a, err := client.change(ctx, http.MethodPost, "changes", change.ID, change)
	if err != nil {
		return fmt.Errorf("settings apply: %w", err)
	}
	return printChange(cmd, a)
}

// readDocuments reads all files below dir. It returns their texts by path in the settings
// tree.
func readDocuments(dir string) (map[string]string, error) {
	texts := map[string]string{}
	err := filepath.WalkDir(dir, func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		relative, err := filepath.Rel(dir, file)
		if err != nil {
			return err
		}
		path, ok := strings.CutSuffix(filepath.ToSlash(relative), ".toml")
		if !ok {
			return fmt.Errorf("%s: want files with the suffix .toml only", file)
		}
		if _, _, err := configurer.SplitPath(path); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		text, err := os.ReadFile(file)
		texts[path] = string(text)
		return err
	})
	return texts, err
}

// editsBetween returns the edits that turn docs into texts. A document without a text is only
// removed if prune is set.
func editsBetween(docs []configurer.Document, texts map[string]string, prune bool) []configurer.Edit {
	present := map[string]configurer.Document{}
	for _, doc := range docs {
		present[doc.Path] = doc
	}
	var edits []configurer.Edit
	for _, path := range slices.Sorted(maps.Keys(texts)) {
		if doc, ok := present[path]; ok && doc.Text == texts[path] {
			continue
		}
		edits = append(edits, configurer.Edit{
			Path:     path,
			Expected: present[path].Version,
			Text:     texts[path],
		})
	}
	for _, doc := range docs {
		if _, ok := texts[doc.Path]; !ok && prune {
			edits = append(edits, configurer.Edit{
				Path:     doc.Path,
				Expected: doc.Version,
				Remove:   true,
			})
		}
	}
	return edits
}

func printEdits(cmd *cli.Command, edits []configurer.Edit) error {
	for _, e := range edits {
		verb := "replace"
		switch {
		case e.Remove:
			verb = "remove"
		case e.Expected == "":
			verb = "create"
		}
		if _, err := fmt.Fprintf(cmd.Root().Writer, "%s %s\n", verb, e.Path); err != nil {
			return err
		}
	}
	return nil
}
