package planner

import (
	"reflect"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/configurer"
)

// FuzzDecode guards against a damaged fleet document that crashes the process or that
// changes when it is decoded and encoded.
func FuzzDecode(f *testing.F) {
	seed, err := Fleet{
		Region: "north",
		VMs: map[string]VM{
			"a": {
				Pool:  "shop",
				Rack:  "r",
				State: StateDraining,
				Wave:  "w",
			},
		},
		Waves: map[string]Wave{
			"w": {
				Pool:    "shop",
				State:   WaveRunning,
				Pending: []string{"a", "gone"},
			},
		},
	}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x02, 0xa1})
	f.Fuzz(func(t *testing.T, data []byte) {
		fleet, err := Decode("north", data)
		if err != nil {
			return
		}
		encoded, err := fleet.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode("north", encoded)
		if err != nil || !reflect.DeepEqual(again, fleet) {
			t.Fatalf("decoded again: %v, got %+v, want %+v", err, again, fleet)
		}
		Plan(fleet, time.UnixMilli(1), Input{
			Pools: Pools{"shop": configurer.Pool{Region: "north"}},
		})
	})
}
