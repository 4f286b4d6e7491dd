package cmd

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/pkg/operator"
)

const (
	// explainTimeout limits the call to the entry, which answers within milliseconds.
	explainTimeout = 5 * time.Second
	// maxExplainedServers is the number of servers in the text; the JSON output has all.
	maxExplainedServers = 20
)

// cmdExplain tells where an entry would send a request.
var cmdExplain = &cli.Command{
	Name:  "explain",
	Usage: "tells where an entry of a seeded site would send a request now, and why, without sending it",
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "metrics `ADDRESS` of the entry"},
		&cli.StringFlag{Name: "host", Usage: "`HOST` of the request"},
		&cli.StringFlag{Name: "path", Usage: "`PATH` of the request"},
		&cli.StringFlag{Name: "key", Usage: "`KEY` of the caller; other users of this machine may see it in the list of processes"},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the key of the caller"},
		&cli.StringFlag{Name: "tokens", Usage: "numbers of prompt tokens and of output tokens of a request to a model, `IN,OUT`"},
		&cli.StringFlag{Name: "prefix", Usage: "segments of the prompt that other requests share, `ID:TOKENS,...`; ids are hexadecimal"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON, with all servers"},
	},
	Action: runExplain,
}

func runExplain(ctx context.Context, command *cli.Command) error {
	for _, name := range []string{"entry", "host", "path"} {
		if command.String(name) == "" {
			return usageError(errors.Newf("--%s is missing", name))
		}
	}
	question, err := explainRequest(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	entry := &operator.Entry{Address: command.String("entry"), HTTP: transport.Client(transport.TCP{})}
	explanation, err := entry.Explain(ctx, question)
	if err != nil {
		return errors.Newf("explain at %s: %w", entry.Address, err)
	}
	if command.Bool("json") {
		return printResult(command, explanation, "")
	}
	return writeExplanation(command.Root().Writer, explanation)
}

// explainRequest returns the request that the command line describes. Its errors do not
// repeat the key.
func explainRequest(command *cli.Command) (operator.ExplainRequest, error) {
	request := operator.ExplainRequest{Host: command.String("host"), Path: command.String("path"), Key: command.String("key")}
	if file := command.String("key-file"); file != "" {
		if request.Key != "" {
			return request, usageError(errors.New("give either --key or --key-file"))
		}
		key, err := (&settings.Secret{File: file}).Read()
		if err != nil {
			return request, usageError(err)
		}
		request.Key = key
	}
	var err error
	request.Prompt, err = parseExplainedPrompt(command.String("tokens"), command.String("prefix"))
	return request, err
}

// parseExplainedPrompt parses the options --tokens and --prefix. It returns nil without
// tokens.
func parseExplainedPrompt(tokens, prefix string) (*operator.ExplainPrompt, error) {
	if tokens == "" {
		if prefix != "" {
			return nil, usageError(errors.New("--prefix needs --tokens"))
		}
		return nil, nil
	}
	in, out, found := strings.Cut(tokens, ",")
	if !found {
		return nil, errors.Newf("--tokens %q: write the numbers of prompt tokens and output tokens, such as 1200,300", tokens)
	}
	prompt := &operator.ExplainPrompt{}
	var err error
	prompt.Tokens, err = parseTokenCount(in)
	if err != nil {
		return nil, errors.Newf("--tokens %q: %w", tokens, err)
	}
	prompt.OutputTokens, err = parseTokenCount(out)
	if err != nil {
		return nil, errors.Newf("--tokens %q: %w", tokens, err)
	}
	if prefix == "" {
		return prompt, nil
	}
	for item := range strings.SplitSeq(prefix, ",") {
		id, length, _ := strings.Cut(strings.TrimSpace(item), ":")
		_, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			return nil, errors.Newf("--prefix: the id %q is not a hexadecimal number of at most 64 bits", id)
		}
		count, err := parseTokenCount(length)
		if err != nil {
			return nil, errors.Newf("--prefix: segment %q: %w", item, err)
		}
		prompt.Prefix = append(prompt.Prefix, operator.ExplainSegment{ID: id, Tokens: count})
	}
	return prompt, nil
}

// parseTokenCount parses a decimal number that is not negative.
func parseTokenCount(text string) (int64, error) {
	count, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || count < 0 {
		return 0, errors.Newf("%q is not a number of tokens", text)
	}
	return count, nil
}

// writeExplanation writes an explanation as text, with at most maxExplainedServers servers of each
// upstream.
func writeExplanation(output io.Writer, e operator.Explanation) error {
	w := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	line := func(name, format string, values ...any) {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	line("outcome", "%s", explainedOutcome(e))
	line("entry", "%s in failure domain %s", e.Instance, e.FailureDomain)
	line("configuration", "version %d, release %d", e.ConfigurationVersion, e.Release)
	line("list of servers", "%s", age(e.ListAge))
	if e.Route == nil {
		line("route", "none fits")
	} else {
		line("route", "%s, priority %d, timeout %s", routeName(e.Route), e.Route.Priority, ms(e.Route.Timeout))
		if len(e.Route.RouteRegions)+len(e.Route.WorkspaceRegions) > 0 {
			line("allowed regions", "route: %s; workspace: %s", regions(e.Route.RouteRegions), regions(e.Route.WorkspaceRegions))
		}
		line("workspace", "%s", workspaceText(e))
	}
	for _, check := range e.Checks {
		line("check "+check.Name, "%s", joined(", ", check.Result, check.Detail))
	}
	if t := e.Tokens; t != nil {
		line("tokens", "%s: %d needed, %d available, %d reserved, target %d, %d left in the budget, exchanged %s ago", t.State, t.Needed, t.Available, t.Reserved, t.Target, t.Left, ms(t.ExchangeAge))
	}
	for _, u := range e.Upstreams {
		writeUpstream(w, line, u)
	}
	return w.Flush()
}

// writeUpstream writes what becomes of the request at one upstream.
func writeUpstream(w io.Writer, line func(name, format string, values ...any), u operator.ExplainedUpstream) {
	_, _ = fmt.Fprintln(w)
	line("upstream", "%s, for %.4g%% of such requests", u.Name, 100*u.Share)
	line("outcome", "%s", upstreamOutcome(u))
	if u.Placement == nil {
		return
	}
	way := "by the loads that they last reported"
	if u.Placement.Adaptive {
		way = "by estimates of load and speed"
	}
	line("servers chosen", "%s", way)
	if u.Placement.Yields {
		line("priority", "refused in favour of more urgent requests, unless it may use the room kept for them")
	}
	if len(u.Placement.Servers) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w)
	_, _ = fmt.Fprintln(w, "SERVER\tFAILURE DOMAIN\tSTATE\tREQUESTS\tSLOTS\tCACHED\tREPORT\tCOST\tBECAUSE OF")
	for i, s := range u.Placement.Servers {
		if i == maxExplainedServers {
			_, _ = fmt.Fprintf(w, "%d more; see --json\n", len(u.Placement.Servers)-i)
			return
		}
		report := "none"
		if s.ReportAge != nil {
			report = ms(*s.ReportAge)
		}
		cost, requests := "", fmt.Sprint(s.InFlight)
		if len(s.Terms) > 0 || s.Cost != 0 {
			cost, requests = ms(s.Cost), fmt.Sprint(s.Requests)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", s.ID, s.FailureDomain, joined(" ", s.State, s.Reason), requests, s.Slots, s.CachedTokens, report, cost, serverDetail(s))
	}
}

// serverDetail returns the terms of the cost of a server, or what keeps requests away.
func serverDetail(s operator.ExplainedServer) string {
	var details []string
	for _, term := range s.Terms {
		details = append(details, fmt.Sprintf("%s %s", term.Name, ms(term.Cost)))
	}
	if s.FirstEvent > 0 {
		details = append(details, "first event after "+ms(s.FirstEvent))
	}
	if s.Wait > 0 {
		details = append(details, "may take it in "+ms(s.Wait))
	}
	if s.Cold != "" {
		details = append(details, "cold: "+s.Cold)
	}
	return strings.Join(details, ", ")
}

// explainedOutcome returns the outcome of the whole request.
func explainedOutcome(e operator.Explanation) string {
	switch {
	case e.Refusal != nil:
		return refusalText(*e.Refusal)
	case len(e.Upstreams) == 1:
		return upstreamOutcome(e.Upstreams[0])
	default:
		return fmt.Sprintf("by one of %d upstreams, see below", len(e.Upstreams))
	}
}

// upstreamOutcome returns the outcome of a request at one upstream.
func upstreamOutcome(u operator.ExplainedUpstream) string {
	then := ""
	switch {
	case len(u.Peers) > 0:
		then = "passed on to one of the entries " + strings.Join(u.Peers, ", ")
	case u.Refusal != nil:
		then = refusalText(*u.Refusal)
	case u.Placement != nil:
		then = fmt.Sprintf("sent to %s at %s", u.Placement.Server, u.Placement.Address)
		if u.Placement.Granted {
			then += ", with the room of more urgent requests"
		}
	}
	if u.Outcome == "waits" {
		return "waits for tokens; if they arrive in time: " + then
	}
	return then
}

func refusalText(r operator.ExplainedRefusal) string {
	text := fmt.Sprintf("refused with status %d: %s", r.Status, r.Reason)
	if r.RetryAfter > 0 {
		text += ", retry after " + ms(r.RetryAfter)
	}
	return text
}

// routeName returns the name of a route, if it has one, and the host and path that it fits.
func routeName(r *operator.ExplainedRoute) string {
	return joined(" for ", r.Name, r.Host+r.PathPrefix)
}

func workspaceText(e operator.Explanation) string {
	if e.Workspace == "" {
		return "none: " + e.NoWorkspace
	}
	return e.Workspace
}

func regions(names []string) string {
	if len(names) == 0 {
		return "any"
	}
	return strings.Join(names, " ")
}

// age returns an age in milliseconds as text; a negative one stands for nothing received yet.
func age(milliseconds float64) string {
	if milliseconds < 0 {
		return "none yet"
	}
	return ms(milliseconds) + " old"
}

// ms returns a time in milliseconds as text.
func ms(milliseconds float64) string {
	return strconv.FormatFloat(milliseconds, 'f', -1, 64) + "ms"
}

// joined joins the texts that are not empty.
func joined(separator string, texts ...string) string {
	var parts []string
	for _, text := range texts {
		if text != "" {
			parts = append(parts, text)
		}
	}
	return strings.Join(parts, separator)
}
