package manager_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyford/comfreyford/pkg/forecaster"
)

// The forecast of a cell has to be in the store for its next owner, and one that can't be read
// must not keep an owner from working and from storing its own.
func TestOwnerStoresForecastForTheNextOne(t *testing.T) {
	tests := []struct {
		name   string
		stored string
	}{
		{"none stored", ""},
		{"not readable", "\xff\xff"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i, _ := newDividedInstallation(t)
				for _, cell := range []string{"c0-0", "c1-0"} {
					if test.stored != "" {
						i.put("control/forecast/"+cell, test.stored)
					}
				}
				a, stop := i.startBoth()
				defer stop()
				i.submit(a, 40) // cells are drawn at random, and each has to get some
				time.Sleep(6 * time.Second)
				series := 0
				for _, cell := range []string{"c0-0", "c1-0"} {
					item, err := i.store.Read(t.Context(), "control/forecast/"+cell)
					if err != nil {
						t.Fatal(err)
					}
					var state forecaster.State
					if err := cbor.Unmarshal(item.Value, &state); err != nil {
						t.Errorf("cell %s: the forecast is not readable: %v", cell, err)
					}
					series += len(state.Series)
				}
				if series == 0 {
					t.Error("the stored forecasts hold no load")
				}
			})
		})
	}
}
