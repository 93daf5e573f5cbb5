package commander

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const operatorsPage = "../../docs/OPERATORS.md"

// Guards against an operators' page whose generated parts differ from the code. If it fails,
// run "comfreyford reference PART" and paste the output between the markers of the part.
func TestOperatorsPageIsGenerated(t *testing.T) {
	text, err := os.ReadFile(operatorsPage)
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	if n := strings.Count(page, "<!-- generated: "); n != len(references()) {
		t.Errorf("%d generated parts, want %d", n, len(references()))
	}
	for part, generate := range references() {
		begin := fmt.Sprintf("<!-- generated: %s -->\n", part)
		_, rest, _ := strings.Cut(page, begin)
		got, _, ok := strings.Cut(rest, "<!-- end generated -->\n")
		if !ok {
			t.Errorf("%s: no part between %q and the end marker", part, begin)
			continue
		}
		if want := generate(); got != want {
			t.Errorf("%s differs; want the output of \"comfreyford reference %s\":\n%s", part, part, want)
		}
	}
}

func ExampleMain() {
	Main([]string{"comfreyford", "reference", "metrics"}, firstLine{}, os.Stderr)
	// Output: | Metric | Kind | Unit | Labels | Meaning |
}

// firstLine prints the first line of each write.
type firstLine struct{}

func (firstLine) Write(b []byte) (int, error) {
	line, _, _ := strings.Cut(string(b), "\n")
	fmt.Println(line)
	return len(b), nil
}
