package journaler_test

import (
	"fmt"

	"github.com/comfreyford/comfreyford/pkg/journaler"
)

func ExampleOwnerOf() {
	fmt.Println(journaler.OwnerOf(7, []string{"a", "b", "c"}) == journaler.OwnerOf(7, []string{"c", "b", "a"}))
	// Output: true
}

func ExampleRefusalOf() {
	_, err := journaler.ParseIdentity("4711")
	refusal := journaler.RefusalOf(err)
	fmt.Println(refusal.Answer, refusal.Reason)
	// Output: not_run bad_identity
}
