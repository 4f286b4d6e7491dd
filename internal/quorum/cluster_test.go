package quorum

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/transport"
)

const syncDelay = 4 * time.Millisecond

// listMachine keeps every command that was applied.
type recordingMachine struct {
	mu       sync.Mutex
	commands []string
}

func (m *recordingMachine) Apply(command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return []byte(fmt.Sprint(len(m.commands)))
}

func (m *recordingMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return peer.Encode(m.commands)
}

func (m *recordingMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	return peer.Decode(data, &m.commands)
}

func (m *recordingMachine) applied() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

// slowFolder is a disk whose syncs take a while, so that faults fall in
// between.
type slowFolder struct {
	*fake.Disk

	mu    sync.Mutex
	delay time.Duration
}

type slowFile struct {
	disk.File
	folder *slowFolder
}

func (f *slowFolder) Append(name string) (disk.File, error) {
	file, err := f.Disk.Append(name)
	return slowFile{File: file, folder: f}, err
}

func (f *slowFolder) setDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

func (f slowFile) Sync() error {
	f.folder.mu.Lock()
	delay := f.folder.delay
	f.folder.mu.Unlock()
	time.Sleep(delay)
	return f.File.Sync()
}

// instance is one running member.
type instance struct {
	node    *Node
	machine *recordingMachine
	server  *http.Server
	client  *http.Client
}

// cluster is a group in memory. It lives inside a synctest bubble.
type cluster struct {
	t         *testing.T
	network   *fake.Network
	check     *invariant.Checker
	initial   []Member
	disks     map[string]*slowFolder
	snapshots int
	// voters bounds the members that vote; 0 means that all do.
	voters int

	mu        sync.Mutex
	instances map[string]*instance
}

// hostOf returns the machine of a member: "3-b" is a later folder on "3".
func hostFor(id string) string {
	host, _, _ := strings.Cut(id, "-")
	return host
}

func memberFor(id string) Member {
	return Member{ID: id, Address: "10.0.0." + hostFor(id) + ":9000"}
}

// newCluster starts a group of the members "1" to size.
func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{
		t:         t,
		network:   &fake.Network{},
		disks:     make(map[string]*slowFolder),
		instances: make(map[string]*instance),
		snapshots: 20,
	}
	c.check = &invariant.Checker{Fatal: func(err error) { t.Errorf("%v", err) }}
	for i := range size {
		c.initial = append(c.initial, memberFor(fmt.Sprint(i+1)))
	}
	for _, member := range c.initial {
		c.startMember(member.ID)
	}
	return c
}

func (c *cluster) openMember(id string) (*instance, error) {
	if c.disks[id] == nil {
		c.disks[id] = &slowFolder{Disk: &fake.Disk{}, delay: syncDelay}
	}
	i := &instance{machine: &recordingMachine{}, client: transport.Client(c.network.Host(hostFor(id)))}
	node, err := Open(Options{
		ID:              id,
		Members:         c.initial,
		Folder:          c.disks[id],
		StateMachine:    i.machine,
		Client:          &peer.Client{HTTP: i.client},
		Check:           c.check,
		SnapshotEntries: c.snapshots,
		Voters:          c.voters,
	})
	i.node = node
	return i, err
}

func (c *cluster) startMember(id string) {
	i, err := c.openMember(id)
	if err != nil {
		c.t.Fatal(err)
	}
	mux := http.NewServeMux()
	i.node.Handle(mux, "")
	socket, err := c.network.Host(hostFor(id)).Listen(memberFor(id).Address)
	if err != nil {
		c.t.Fatal(err)
	}
	i.server = &http.Server{Handler: mux}
	go func() { _ = i.server.Serve(socket) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[id] = i
}

// get returns a running member, or nil.
func (c *cluster) find(id string) *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[id]
}

// kill ends a member at once; its disk keeps only the first keep bytes of what
// was not synced.
func (c *cluster) kill(id string, unsyncedKept int) {
	i := c.find(id)
	if i == nil {
		return
	}
	c.mu.Lock()
	delete(c.instances, id)
	c.mu.Unlock()
	c.disks[id].Crash(unsyncedKept)
	c.network.Kill(hostFor(id))
	_ = i.server.Close()
	i.node.shutDown()
	i.client.CloseIdleConnections()
}

func (c *cluster) close() {
	for _, id := range c.ids() {
		c.kill(id, 0)
	}
}

func (c *cluster) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id := range c.instances {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// isolate cuts a member off from all others, or ends that.
func (c *cluster) isolate(id string, cut bool) {
	for other := range c.disks {
		if other != id {
			c.cut(id, other, cut)
			c.cut(other, id, cut)
		}
	}
}

func (c *cluster) cut(from, to string, cut bool) {
	if cut {
		c.network.Cut(from, to)
	} else {
		c.network.Heal(from, to)
	}
}

func (c *cluster) propose(id, command string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.find(id).node.Propose(ctx, []byte(command))
	return err
}

func (c *cluster) mustPropose(id, command string) {
	c.t.Helper()
	err := c.propose(id, command)
	if err != nil {
		c.t.Fatalf("propose %s at %s: %v", command, id, err)
	}
}

func (c *cluster) barrier(id string) error {
	return c.find(id).node.Barrier(context.Background())
}

// leader waits until all running and admitted members but those left out agree
// on a leader.
func (c *cluster) leader(excluded ...string) string {
	c.t.Helper()
	for range 300 {
		leaders := make(map[string]bool)
		for _, id := range c.ids() {
			status := c.find(id).node.Status()
			if status.Admitted && !slices.Contains(excluded, id) {
				leaders[status.Leader] = true
			}
		}
		for leader := range leaders {
			if len(leaders) == 1 && c.find(leader) != nil && !slices.Contains(excluded, leader) {
				return leader
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.logStatus()
	c.t.Fatal("no leader within 30s")
	return ""
}

func (c *cluster) logStatus() {
	for _, id := range c.ids() {
		c.t.Logf("%+v", c.find(id).node.Status())
	}
}

// follower returns a running member that does not lead.
func (c *cluster) follower() string {
	leader := c.leader()
	for _, id := range c.ids() {
		if id != leader {
			return id
		}
	}
	c.t.Fatal("no follower runs")
	return ""
}

// awaitVoter waits until id counts as repaired.
func (c *cluster) awaitVoter(id string) {
	c.t.Helper()
	for range 300 {
		for _, member := range c.find(id).node.Status().Members {
			if member.ID == id && !member.Learner {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("member %s is no voter within 30s", id)
}

// settle checks that every running member applies the same commands, each
// accepted one exactly once.
func (c *cluster) checkAgreement(accepted []string) {
	c.t.Helper()
	var want []string
	for _, id := range c.ids() {
		err := c.barrier(id)
		if err != nil {
			c.logStatus()
			c.t.Fatalf("barrier at %s: %v", id, err)
		}
		got := c.find(id).machine.applied()
		if want == nil {
			want = got
		}
		if !slices.Equal(got, want) {
			c.t.Fatalf("member %s applied %v, others %v", id, got, want)
		}
	}
	counts := make(map[string]int)
	for _, command := range want {
		counts[command]++
		if counts[command] > 1 {
			c.t.Fatalf("command %s applied twice", command)
		}
	}
	for _, command := range accepted {
		if counts[command] != 1 {
			c.t.Fatalf("accepted command %s applied %d times", command, counts[command])
		}
	}
}
