package live

import (
	"bufio"
	"context"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/cactusbay/cactusbay/internal/freeport"
)

// operatorPortOffset is the distance from the entry's port to the operator API's
// port of cactusbay dev.
const operatorPortOffset = 10

// codeLines returns the lines of the indented code blocks of a Markdown page,
// without "$ " prompts.
func codeLines(t *testing.T, path string) []string {
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var lines []string
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line, indented := strings.CutPrefix(scanner.Text(), "    ")
		if indented {
			lines = append(lines, strings.TrimPrefix(strings.TrimSpace(line), "$ "))
		}
	}
	return lines
}

// TestReadmeCommandsRun guards against README commands that no longer work. It runs
// them in order against cactusbay dev, except the go and make commands, which CI
// runs itself.
func TestReadmeCommandsRun(t *testing.T) {
	free, err := freeport.Block(operatorPortOffset, 11, 12, 13)
	if err != nil {
		t.Fatal(err)
	}
	entry := free.String()
	s := &site{t: t, folder: t.TempDir()}
	ctx, cancel := context.WithCancel(context.Background())
	dev := exec.CommandContext(ctx, binary, "dev", "--listen", entry, "--data", s.folder)
	dev.Stdout = io.Discard
	var failure strings.Builder
	dev.Stderr = &failure
	err = dev.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		cancel()
		_ = dev.Wait()
		if t.Failed() {
			t.Logf("the development site printed: %s", failure.String())
		}
	}()
	s.eventually("the development site is ready", func() bool {
		response, err := http.Get("http://" + entry + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	script := readmeScript(t, entry)
	shell := exec.Command("bash", "-euc", script)
	shell.Env = append(os.Environ(), "PATH="+filepath.Dir(binary)+":"+os.Getenv("PATH"))
	got, err := shell.CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s\n%s", err, script, got)
	}
	for _, want := range []string{"t15 ", `"run":1`, "deposited 500000 tokens", "version 2 accepted", "engine-1 is leaving", "engine-1 is active"} {
		if !strings.Contains(string(got), want) {
			t.Errorf("the output lacks %q:\n%s", want, got)
		}
	}
}

// readmeScript returns the README's commands with its addresses replaced by those
// of this run, without the go and make commands.
func readmeScript(t *testing.T, entry string) string {
	host, port, err := net.SplitHostPort(entry)
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	operators := strconv.Itoa(number + operatorPortOffset)
	var lines []string
	for _, line := range codeLines(t, "../../README.md") {
		if strings.HasPrefix(line, "go ") || strings.HasPrefix(line, "make ") {
			continue
		}
		line = strings.ReplaceAll(line, "127.0.0.1:8080", entry)
		line = strings.ReplaceAll(line, "127.0.0.1:8090", net.JoinHostPort(host, operators))
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

var (
	commandPattern = regexp.MustCompile(`cactusbay((?: [a-z][a-z-]*)+)`)
	flagPattern    = regexp.MustCompile(`--[a-z-]+`)
)

// TestPagesNameCommandsThatExist guards against pages that show commands or options
// that the program doesn't have. It checks each code line against the program's
// --help output.
func TestPagesNameCommandsThatExist(t *testing.T) {
	checked := 0
	for _, root := range []string{"../../docs", "../../man", "../../README.md"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
				return err
			}
			for _, line := range codeLines(t, path) {
				checked += checkCommand(t, path, line)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if checked == 0 {
		t.Error("no command was found in the pages")
	}
}

// checkCommand checks the command and the options of a code line against the
// command's help. It returns the number of commands checked, 0 or 1.
func checkCommand(t *testing.T, path, line string) int {
	found := commandPattern.FindStringSubmatch(line)
	if found == nil || strings.Contains(found[1], " help") {
		return 0
	}
	words := strings.Fields(found[1])
	help, known := helpText(words)
	if !known {
		t.Errorf("%s: no such command: %s", path, line)
		return 1
	}
	for _, flag := range flagPattern.FindAllString(line, -1) {
		if !strings.Contains(help, flag) && !strings.Contains(line, "|") {
			t.Errorf("%s: %q has no option %s", path, line, flag)
		}
	}
	return 1
}

// helpText returns the help of the command that consists of words, and reports
// whether the program has that command.
func helpText(words []string) (help string, known bool) {
	parent, err := exec.Command(binary, words[0], "--help").CombinedOutput()
	if err != nil {
		return "", false
	}
	if len(words) == 1 || !strings.Contains(string(parent), "\nCOMMANDS:") {
		return string(parent), true
	}
	if !strings.Contains(string(parent), "\n   "+words[1]+" ") {
		return "", false
	}
	own, err := exec.Command(binary, words[0], words[1], "--help").CombinedOutput()
	return string(own), err == nil
}
