package demonstrator

import (
	"bytes"
	_ "embed" // for demoTOML
	"fmt"

	"github.com/BurntSushi/toml"

	"github.com/comfreyford/comfreyford/pkg/authenticator"
	"github.com/comfreyford/comfreyford/pkg/configurer"
)

//go:embed demo.toml
var demoTOML string

// plan is the content of demo.toml.
type plan struct {
	Teams  map[string]team             `toml:"teams"`
	Pools  map[string]configurer.Pool  `toml:"pools"`
	Queues map[string]configurer.Queue `toml:"queues"`
	VMs    map[string]int              `toml:"vms"` // by pool, in each availability zone
}

type team struct {
	Weight int      `toml:"weight"`
	Limit  int      `toml:"limit"`
	Keys   []string `toml:"keys"`
}

func readPlan() (plan, error) {
	var p plan
	meta, err := toml.Decode(demoTOML, &p)
	if err != nil {
		return plan{}, Error.Wrap(err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return plan{}, Error.New("demo.toml: unknown key %s", unknown[0])
	}
	return p, nil
}

// edits returns the settings documents of the plan, and by team the value of the
// Comfreyford-Key header.
func (p plan) edits() ([]configurer.Edit, map[string]string, error) {
	var edits []configurer.Edit
	keys := map[string]string{}
	add := func(path string, document any) error {
		var text bytes.Buffer
		if err := toml.NewEncoder(&text).Encode(document); err != nil {
			return Error.Wrap(err)
		}
		edits = append(edits, configurer.Edit{
			Path: path,
			Text: text.String(),
		})
		return nil
	}
	for name, t := range p.Teams {
		document := configurer.Team{
			Weight: t.Weight,
			Limit:  t.Limit,
		}
		for _, id := range t.Keys {
			credential := authenticator.Generate()
			credential.ID = id
			keys[name] = credential.HeaderValue()
			document.Keys = append(document.Keys, configurer.Key{
				ID:     id,
				SHA256: credential.Secret.SHA256(),
			})
		}
		if err := add("teams/"+name, document); err != nil {
			return nil, nil, err
		}
	}
	for name, pool := range p.Pools {
		if err := add("pools/"+name, pool); err != nil {
			return nil, nil, err
		}
	}
	for name, queue := range p.Queues {
		if err := add("queues/"+name, queue); err != nil {
			return nil, nil, err
		}
	}
	return edits, keys, nil
}

func vmName(zone, pool string, n int) string {
	return fmt.Sprintf("vm-%s-%s-%d", zone, pool, n)
}
