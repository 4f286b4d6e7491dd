package group

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// watchTimeout bounds a whole watch call, so that a connection that no
	// longer delivers data is dropped.
	watchTimeout = maxWatchWait + 2*time.Second
	watchRetry   = 250 * time.Millisecond
	// probeInterval is the time between two probes of the control instances
	// other than the source.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
	// maxStaleProbes is how many probes in a row must find a newer version than
	// the source has before the probed instance becomes the source.
	maxStaleProbes = 2
	// minSourceTime is how long a source is used before a nearer one replaces
	// it.
	minSourceTime = 30 * time.Second
	// responseLifetime is how long a response counts towards Reachability. Each
	// control instance adds a probeInterval, because they are probed in
	// rotation.
	responseLifetime = 10 * time.Second
)

// errPatchGap reports patches that do not lead from the version in force to the
// version that the response names.
var errPatchGap = errors.New("the patches do not lead from the version in force to the named version")

// Reachability states how many control instances responded recently, and so how
// far the version in force can be trusted to be the newest.
type Reachability string

// Values of Reachability.
const (
	// ReachesMajority means that most control instances responded recently.
	ReachesMajority Reachability = "majority"
	// ReachesSome means that some control instances, but no majority, responded
	// recently.
	ReachesSome Reachability = "reachable"
	// ReachesNone means that no control instance responded recently.
	ReachesNone Reachability = "cut_off"
)

// Active is the configuration version in force at an instance.
type Active struct {
	Number   uint64
	Document *config.Document
	// Since is when this instance put the version in force.
	Since time.Time
}

// Watcher follows the control group and puts the newest configuration version
// in force that any control instance has returned. The version in force never
// goes back.
type Watcher struct {
	// Directory holds the addresses of the control instances, nearest first.
	Directory *Directory
	Client    *peer.Client
	Log       *log.Logger
	Check     *invariant.Checker
	// Scope receives metrics of the responses and their bytes; nil disables
	// them.
	Scope tally.Scope
	// OnInstall is called with the number and document of each version before
	// it is in force; it may be nil.
	OnInstall func(number uint64, document *config.Document)
	// View receives the list of backend servers; nil means that the list is not
	// requested.
	View *instances.View
	// DatagramAddress is where this instance receives datagrams. Peers receives
	// the datagram addresses of the live instances when they change; nil means
	// that they are not needed.
	DatagramAddress string
	Peers           func(addresses []string)
	// Instance, Epoch and FailureDomain identify this instance in its
	// heartbeats. Epoch differs for each run of its process.
	Instance      string
	Epoch         string
	FailureDomain string

	// installMu serializes installs.
	installMu sync.Mutex

	mu     sync.Mutex
	active Active
	// installed is the configuration in force with its encoding.
	installed config.Encoded
	// responded is when each control instance last responded, by address.
	responded map[string]time.Time
	// source is the address of the control instance that is watched, and
	// sourceSince is when it became the source. It is zero if a nearer instance
	// may replace the source at once.
	source      string
	sourceSince time.Time
	// staleProbes counts the probes in a row that found a newer version than the
	// source has.
	staleProbes int
	leaving     bool
	// peersChecksum is the checksum of the addresses last passed to Peers.
	peersChecksum uint64
	// entryCount is the highest number of live instances that any control
	// instance has reported.
	entryCount int

	confirmer confirmer

	ready chan struct{}
	stop  context.CancelFunc
	done  chan struct{}
}

// Start starts to watch in the background. Close must be called to stop.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.done = make(chan struct{})
	w.ready = make(chan struct{})
	w.confirmer.turn = make(chan struct{}, 1)
	w.responded = make(map[string]time.Time)
	go w.run(ctx)
}

// Close stops watching and waits until the background work has ended.
func (w *Watcher) Close() {
	w.stop()
	<-w.done
}

// Leave marks the following heartbeats as those of an instance that is shutting
// down.
func (w *Watcher) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Ready returns a channel that is closed once a version is in force.
func (w *Watcher) Ready() <-chan struct{} {
	return w.ready
}

// Active returns the version in force; its document is nil before Ready.
func (w *Watcher) Active() Active {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}

// ContactAge returns the time since a control instance last responded, or -1 if none
// has.
func (w *Watcher) ContactAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var newest time.Time
	for _, at := range w.responded {
		if at.After(newest) {
			newest = at
		}
	}
	if newest.IsZero() {
		return -1
	}
	return time.Since(newest)
}

// Reachability returns how many control instances responded recently.
func (w *Watcher) Reachability() Reachability {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reachability()
}

// reachability returns how many control instances responded recently; mu must be
// held.
func (w *Watcher) reachability() Reachability {
	members := w.Directory.Members()
	within := responseLifetime + time.Duration(len(members))*probeInterval
	responses := 0
	for _, address := range members {
		at, responded := w.responded[address]
		if responded && time.Since(at) <= within {
			responses++
		}
	}
	switch {
	case responses > len(members)/2:
		return ReachesMajority
	case responses > 0:
		return ReachesSome
	default:
		return ReachesNone
	}
}

// run installs the first version, then watches the source and probes the other
// control instances.
func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	w.installFirst(ctx)
	prober := &prober{watcher: w, done: make(chan struct{})}
	go prober.run(ctx)
	for ctx.Err() == nil {
		w.watchSource(ctx)
	}
	<-prober.done
}

// watchSource makes one watch call to the source. It switches to the next
// control instance if the call fails or the source is leaving, lagging or
// behind.
func (w *Watcher) watchSource(ctx context.Context) {
	w.mu.Lock()
	source := w.source
	w.mu.Unlock()
	response, err := w.fetchUpdate(ctx, source, watchRequest{Wait: true}, watchTimeout)
	if err == nil && !response.Leaving && !response.Lagging && response.Number >= w.Active().Number {
		w.mu.Lock()
		w.staleProbes = 0
		w.mu.Unlock()
		return
	}
	if err != nil {
		w.Log.Debug("configuration watch failed; trying the next control instance", "err", err.Error())
	}
	w.switchSourceFrom(source)
	sleep.For(ctx, watchRetry)
}

// fetchUpdate requests the update of the version in force from a control
// instance and installs it. If the patches do not fit, it fetches the whole
// document.
func (w *Watcher) fetchUpdate(ctx context.Context, address string, request watchRequest, timeout time.Duration) (*watchResponse, error) {
	response, base, err := w.queryNewer(ctx, address, request, timeout)
	if err != nil {
		return nil, err
	}
	err = w.install(response, base)
	if !errors.Is(err, errPatchGap) {
		return response, err
	}
	w.count("configuration_gaps", 1)
	response, err = w.fetchDocument(ctx, address)
	return response, err
}

// fetchDocument fetches the whole document from a control instance and installs
// it.
func (w *Watcher) fetchDocument(ctx context.Context, address string) (*watchResponse, error) {
	response, _, err := w.query(ctx, address, watchRequest{}, probeTimeout)
	if err != nil {
		return nil, err
	}
	return response, w.install(response, 0)
}

// queryNewer requests what is newer than the version in force and returns the
// response with the version that was in force.
func (w *Watcher) queryNewer(ctx context.Context, address string, request watchRequest, timeout time.Duration) (*watchResponse, uint64, error) {
	request.HaveVersion = w.Active().Number
	return w.query(ctx, address, request, timeout)
}

// query makes one watch call and applies all of its response but the
// configuration. It returns the response with the version that the request named.
func (w *Watcher) query(ctx context.Context, address string, request watchRequest, timeout time.Duration) (*watchResponse, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request.Instance = w.Instance
	request.Epoch = w.Epoch
	request.FailureDomain = w.FailureDomain
	w.mu.Lock()
	request.Reachability = w.reachability()
	request.Leaving = w.leaving
	request.DatagramAddress = w.DatagramAddress
	request.KnownPeersChecksum = w.peersChecksum
	request.AcceptsCompressed = true
	w.mu.Unlock()
	if w.View != nil {
		request.Listing = true
		request.ListingReader, request.ListingNumber = w.View.ListingID()
	}
	sent := time.Now()
	response, err := peer.Call[watchRequest, watchResponse](ctx, w.Client, address, watchProcedure, &request)
	if err != nil {
		return nil, 0, errors.Newf("watch %s: %w", address, err)
	}
	err = response.decompress()
	if err != nil {
		return nil, 0, errors.Newf("watch %s: %w", address, err)
	}
	w.mu.Lock()
	w.responded[address] = time.Now()
	w.entryCount = max(w.entryCount, response.EntryCount)
	w.mu.Unlock()
	w.Directory.SetMembers(response.ControlAddresses)
	w.updateListing(&request, response, sent)
	w.updatePeers(response)
	w.countResponse(response)
	return response, request.HaveVersion, nil
}

// updateListing passes the list of backend servers in the response to a request, which
// was sent at the given time, to the view.
func (w *Watcher) updateListing(request *watchRequest, response *watchResponse, sent time.Time) {
	if w.View == nil || response.ListingAge < 0 {
		return
	}
	age := time.Duration(response.ListingAge) * time.Millisecond
	if response.Listing != nil {
		w.View.Offer(*response.Listing, age)
		w.View.Prove(response.Listing.Reader, response.Listing.Number, sent.Add(-age))
		return
	}
	w.View.Confirm(request.ListingReader, request.ListingNumber, age)
	w.View.Prove(request.ListingReader, request.ListingNumber, sent.Add(-age))
}

// updatePeers passes the peer addresses of a response to Peers.
func (w *Watcher) updatePeers(response *watchResponse) {
	if w.Peers == nil || len(response.Peers) == 0 {
		return
	}
	w.mu.Lock()
	w.peersChecksum = response.PeersChecksum
	w.mu.Unlock()
	w.Peers(response.Peers)
}

// Entries returns the highest number of live instances that any control
// instance has reported, at least 1.
func (w *Watcher) Entries() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(1, w.entryCount)
}

// install puts a newer version in force. An older version is ignored without an
// error, because a control instance may be isolated or behind.
func (w *Watcher) install(response *watchResponse, base uint64) error {
	w.installMu.Lock()
	defer w.installMu.Unlock()
	active := w.Active().Number
	if response.Number <= active {
		return nil
	}
	next, err := w.assemble(response, base, active)
	if err != nil {
		return err
	}
	if w.OnInstall != nil {
		w.OnInstall(response.Number, next.Document)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	err = w.Check.Check(response.Number > w.active.Number, invariant.VersionMonotonic, "version %d after %d", response.Number, w.active.Number)
	if err != nil {
		return errors.Newf("install configuration: %w", err)
	}
	first := w.active.Document == nil
	w.installed = next
	w.active = Active{Number: response.Number, Document: next.Document, Since: time.Now()}
	w.Log.Info("configuration in force", "version", response.Number)
	if first {
		close(w.ready)
	}
	return nil
}

// assemble builds the document that a response describes. Patches start after
// version base; those up to the active version are skipped.
func (w *Watcher) assemble(response *watchResponse, base, active uint64) (config.Encoded, error) {
	start := config.Encoded{JSON: response.Document}
	var patches [][]byte
	switch {
	case len(response.Document) > 0:
	case len(response.CombinedPatch) > 0:
		if active != base {
			return config.Encoded{}, errPatchGap
		}
		start = w.installed
		patches = [][]byte{response.CombinedPatch}
	default:
		if base+uint64(len(response.Patches)) != response.Number || active < base {
			return config.Encoded{}, errPatchGap
		}
		start = w.installed
		patches = response.Patches[active-base:]
	}
	result, err := start.Apply(patches)
	if err != nil {
		return config.Encoded{}, errors.Newf("read version %d: %w", response.Number, err)
	}
	if len(response.Document) == 0 && string(config.Checksum(result.JSON)) != string(response.Checksum) {
		return config.Encoded{}, errPatchGap
	}
	return result, nil
}

// switchSourceFrom makes the next control instance the source, unless the
// source has changed already.
func (w *Watcher) switchSourceFrom(source string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, found := w.Directory.nextAfter(source)
	if w.source == source && found {
		w.setSource(next)
	}
}

// setSource makes address the source; mu must be held.
func (w *Watcher) setSource(address string) {
	w.source = address
	w.sourceSince = time.Now()
	w.staleProbes = 0
}

func (w *Watcher) countResponse(response *watchResponse) {
	bytes := len(response.Document) + len(response.CombinedPatch)
	for _, patch := range response.Patches {
		bytes += len(patch)
	}
	w.count("configuration_answers", 1)
	w.count("configuration_bytes", int64(bytes))
	w.count("configuration_changes", int64(len(response.Patches)))
	if len(response.Document) > 0 {
		w.count("configuration_documents", 1)
	}
}

func (w *Watcher) count(name string, change int64) {
	if w.Scope != nil && change > 0 {
		w.Scope.Counter(name).Inc(change)
	}
}
