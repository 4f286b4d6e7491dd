// Package testbinary builds the command for tests that run it as separate
// processes.
package testbinary

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

// Run builds the command at root into a folder of its own, writes its path to
// binary, runs the tests of m and returns their exit code.
func Run(m *testing.M, root string, binary *string) (code int, err error) {
	folder, err := os.MkdirTemp("", "cactusbay-binary-")
	if err != nil {
		return 1, errors.Newf("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	*binary = filepath.Join(folder, "cactusbay")
	build := exec.Command("go", "build", "-o", *binary, root)
	build.Stderr = os.Stderr
	err = build.Run()
	if err != nil {
		return 1, errors.Newf("build the command: %w", err)
	}
	return m.Run(), nil
}
