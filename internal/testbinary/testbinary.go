// Package testbinary builds the cactusbay command for tests that start it as
// separate processes.
package testbinary

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

// Run builds the command whose main package is in the folder root into a
// temporary folder, stores the path of the binary in *binary, runs the tests of
// m and returns their exit code. It removes the temporary folder at the end.
func Run(m *testing.M, root string, binary *string) (code int, err error) {
	folder, err := os.MkdirTemp("", "cactusbay-binary-")
	if err != nil {
		return 1, errors.Newf("create temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	*binary = filepath.Join(folder, "cactusbay")
	build := exec.Command("go", "build", "-o", *binary, root)
	build.Stderr = os.Stderr
	err = build.Run()
	if err != nil {
		return 1, errors.Newf("build cactusbay command: %w", err)
	}
	return m.Run(), nil
}
