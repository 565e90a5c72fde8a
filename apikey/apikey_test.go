package apikey

import (
	"fmt"
	"net/http"
	"testing"
)

func ExampleSole() {
	fmt.Println(Sole(nil))
	fmt.Println(Sole([]string{"", "k1", "k1"}))
	fmt.Println(Sole([]string{"k1", "k2"}))
	// Output:
	//  true
	// k1 true
	//  false
}

func ExampleBearer() {
	h := http.Header{"Authorization": {"Basic dXNlcg==", "bearer k1"}}
	fmt.Println(Bearer(h))
	// Output: k1 true
}

// Guards against a withdrawn key that passes because another header comes first.
func TestBearerOfSeveralHeaders(t *testing.T) {
	for _, c := range []struct {
		values []string
		key    string
		ok     bool
	}{
		{nil, "", true},
		{[]string{"Basic x"}, "", true},
		{[]string{"Bearer"}, "", true},
		{[]string{"Bearer ", "Bearer old"}, "old", true},
		{[]string{"Basic x", "BEARER  old "}, "old", true},
		{[]string{"Bearer new", "Bearer old"}, "", false},
		{[]string{"Bearer old", "Bearer new"}, "", false},
		{[]string{"Bearer a", "Bearer a", "Bearer b"}, "", false},
	} {
		key, ok := Bearer(http.Header{"Authorization": c.values})
		if key != c.key || ok != c.ok {
			t.Errorf("%q: got %q, %v", c.values, key, ok)
		}
	}
}
