package lab_test

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/lab"
	"github.com/carawayrack/carawayrack/operator"
)

// run runs an operator's command and returns its output and exit code.
func (w *testbed) run(in string, args ...string) (string, int) {
	GinkgoHelper()
	c := exec.Command(binary, args[0], "-control", strings.Join(w.fleet.Addresses("control", lab.Peer), ","), "-secret-file", filepath.Join(w.fleet.Dir, "secret"))
	c.Args = append(c.Args, args[1:]...)
	c.Stdin = strings.NewReader(in)
	b, err := c.CombinedOutput()
	if _, ok := err.(*exec.ExitError); err != nil && !ok {
		Fail(err.Error())
	}
	return string(b), c.ProcessState.ExitCode()
}

var _ = Describe("the operators' commands", func() {
	It("apply a printed configuration, once for each change ID", func() {
		w := start(newFleet(3), 2, club)
		var printed bytes.Buffer
		c := operator.New().Account("club", club.rpm, club.burst).Account("museum", 600, 10)
		Expect(c.Service("desk").Route("/desk", "desk").Print(&printed)).To(Succeed())

		out, code := w.run(printed.String(), "apply", "-id", "first", "-")
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring("version 2 in force"))
		out, code = w.run(printed.String(), "apply", "-id", "first", "-")
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring("version 2"))
		out, code = w.run(otherConfiguration(), "apply", "-base", "1", "-")
		Expect(code).To(Equal(4), out)
		Expect(out).To(ContainSubstring("versionConflict"))
		out, code = w.run(`{"accounts":[{"name":"x"}]}`, "apply", "-")
		Expect(code).To(Equal(1), out)
		Expect(out).To(ContainSubstring("ratePerMinute"))

		key, code := w.run("", "keys", "issue", "museum")
		Expect(code).To(BeZero(), key)
		secret := strings.Fields(key)
		w.await("the key works", func() bool { return w.get("h2", "/desk/x", keyOf(secret)).status == 200 })
		out, code = w.run("", "keys", "withdraw", keyID(keyOf(secret)))
		Expect(code).To(BeZero(), out)
		Expect(w.get("h2", "/desk/x", keyOf(secret)).status).To(Equal(401))
		for _, args := range [][]string{{"status"}, {"replicas"}, {"zones", "list"}, {"diff", "-"}} {
			out, code = w.run(printed.String(), args...)
			Expect(code).To(BeZero(), out)
		}
		out, code = w.run("", "why", "-admin", w.fleet.Processes["h2"].Admin, "museum")
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring("keyWithdrawn"))
		out, code = w.run("", "nothing")
		Expect(code).To(Equal(2), out)
		w.checkHosts()
	})
})

// otherConfiguration returns a configuration with one account.
func otherConfiguration() string {
	return `{"accounts":[{"name":"solo","ratePerMinute":60,"burst":5}]}`
}

// keyOf returns the word that is a key, empty if there is none.
func keyOf(words []string) string {
	for _, s := range words {
		if strings.HasPrefix(s, "cwr_") {
			return s
		}
	}
	return ""
}
