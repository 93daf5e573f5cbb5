package partitioner_test

import (
	"slices"
	"testing"

	"github.com/comfreyford/comfreyford/pkg/partitioner"
)

// Guards against jobs that go to a cell which can start nothing, and against jobs that find no cell.
func TestOpenCells(t *testing.T) {
	divided := partitioner.Layout{
		Groups: [][]string{{"a", "b"}, {"c"}},
		Parts:  1,
	}
	tests := []struct {
		name      string
		layout    partitioner.Layout
		evacuated []string
		want      []string
	}{
		{
			name:   "no evacuation",
			layout: divided,
			want:   []string{"c0-0", "c1-0"},
		},
		{
			name:      "one of two zones of a cell",
			layout:    divided,
			evacuated: []string{"a"},
			want:      []string{"c0-0", "c1-0"},
		},
		{
			name:      "all zones of a cell",
			layout:    divided,
			evacuated: []string{"a", "b"},
			want:      []string{"c1-0"},
		},
		{
			name:      "all zones",
			layout:    divided,
			evacuated: []string{"a", "b", "c"},
			want:      []string{"c0-0", "c1-0"},
		},
		{
			name:      "fleet that is not divided",
			evacuated: []string{"a"},
			want:      []string{"fleet"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			evacuated := map[string]bool{}
			for _, zone := range tt.evacuated {
				evacuated[zone] = true
			}
			if got := tt.layout.OpenCells(tt.layout.Cells(), evacuated); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
