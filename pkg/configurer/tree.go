package configurer

import (
	"fmt"
	"maps"
	"slices"
)

// Document is one document of a revision.
type Document struct {
	Path     string `cbor:"path" json:"path"`
	Version  string `cbor:"version" json:"version"`
	Revision uint64 `cbor:"revision" json:"revision"` // revision of the change that wrote it
	Text     string `cbor:"text" json:"text"`
}

// parsedDocument is a document with its decoded value.
type parsedDocument struct {
	Document
	value any
}

// buildTree returns the tree of a revision from its documents, by path.
func buildTree(revision uint64, docs map[string]parsedDocument) *Tree {
	t := &Tree{
		Revision: revision,
		Teams:    map[string]Team{},
		Pools:    map[string]Pool{},
		Queues:   map[string]Queue{},
		Waves:    map[string]Wave{},
		Policy:   DefaultPolicy(),
	}
	for path, doc := range docs {
		// parseDocument has checked the path.
		_, name, _ := SplitPath(path)
		switch v := doc.value.(type) {
		case Team:
			t.Teams[name] = v
		case Pool:
			t.Pools[name] = v
		case Queue:
			t.Queues[name] = v
		case Wave:
			t.Waves[name] = v
		case Policy:
			t.Policy = v
		}
	}
	return t
}

// checkReferences validates the rules across documents: the pools that queues and waves
// name exist, and the ids of keys are unique.
func checkReferences(t *Tree) []Problem {
	var problems []Problem
	pool := func(path, name string) {
		if _, ok := t.Pools[name]; !ok {
			problems = append(problems, Problem{
				Path: path,
				Key:  "pool",
				Got:  fmt.Sprintf("pool %q does not exist", name),
				Want: "the name of a document under pools/",
			})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.Queues)) {
		pool(KindQueues+"/"+name, t.Queues[name].Pool)
	}
	for _, name := range slices.Sorted(maps.Keys(t.Waves)) {
		pool(KindWaves+"/"+name, t.Waves[name].Pool)
	}
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(t.Teams)) {
		for i, k := range t.Teams[name].Keys {
			if owner, ok := owners[k.ID]; ok {
				problems = append(problems, Problem{
					Path: KindTeams + "/" + name,
					Key:  fmt.Sprintf("keys[%d].id", i),
					Got:  fmt.Sprintf("key id %q is also in teams/%s", k.ID, owner),
					Want: "an id that is unique over all teams",
				})
				continue
			}
			owners[k.ID] = name
		}
	}
	return problems
}

// checkWithdrawn rejects a team document that changes or leaves out a withdrawn key.
// Otherwise the key could become valid again for anyone who still has its secret.
func checkWithdrawn(path string, before, after any) []Problem {
	old, _ := before.(Team)
	team, _ := after.(Team)
	var problems []Problem
	for _, key := range old.Keys {
		if !key.Withdrawn || slices.Contains(team.Keys, key) {
			continue
		}
		problems = append(problems, Problem{
			Path: path,
			Key:  "keys",
			Got:  fmt.Sprintf("withdrawn key %q is changed or missing", key.ID),
			Want: "the key as it was, and a new key id to grant access again",
		})
	}
	return problems
}
