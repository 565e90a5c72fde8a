package abuse_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// binary is the path of the carawayrack program.
var binary string

var _ = BeforeSuite(func() {
	binary = filepath.Join(GinkgoT().TempDir(), "carawayrack")
	out, err := exec.Command(goCommand(), "build", "-o", binary, "../cmd/carawayrack").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

func TestAbuse(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Misbehaving clients")
}

// goCommand returns the command that the Makefile passes on as GO.
func goCommand() string {
	if n := os.Getenv("GO"); n != "" {
		return n
	}
	return "go"
}
