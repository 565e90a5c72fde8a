package readahead

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReadahead(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "readahead")
}
