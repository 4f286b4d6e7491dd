package process

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/check"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/settings"
)

// Ports of a development site, as offsets from the entry's port.
const (
	devOperatorOffset = 10
	devPeerOffset     = 11
	devEngineOffset   = 12
	devServiceOffset  = 13
)

const (
	// DevKey is the key with which callers use the workspace demo.
	DevKey = "demo-key"
	// DevOperatorKey is the key of the operator of a development site.
	DevOperatorKey = "operator-key"

	// devDeposit is the initial budget of the workspace demo in tokens.
	devDeposit      = 1_000_000
	devWorkspace    = "demo"
	devDomain       = "a"
	devFileMode     = 0o600
	devReadyTimeout = 5 * time.Second
	// devShutdownLag is short because a development site has no load balancer.
	devShutdownLag = time.Millisecond
)

// DevAddresses holds the listen addresses of a development site.
type DevAddresses struct {
	Entry    string
	Operator string
	Peer     string
	Engine   string
	Service  string
}

// Dev is a development site: a control instance, an entry and fake backend
// servers in one process.
type Dev struct {
	Addresses DevAddresses
	Control   *Control
	Entry     *Entry
	Engine    *fake.Engine
	Service   *fake.Service

	closers closers
}

// DevAddressesFor returns the addresses of a development site whose entry
// listens on address, an IP address and a port.
func DevAddressesFor(address string) (DevAddresses, error) {
	base, err := netip.ParseAddrPort(address)
	if err != nil {
		return DevAddresses{}, errors.Newf(`%q is not an IP number and a port, such as "127.0.0.1:8080": %w`, address, err)
	}
	if int(base.Port())+devServiceOffset > 65535 {
		return DevAddresses{}, errors.Newf("port %d is too high: choose one below 65520", base.Port())
	}
	addressAt := func(offset uint16) string {
		return netip.AddrPortFrom(base.Addr(), base.Port()+offset).String()
	}
	return DevAddresses{
		Entry:    address,
		Operator: addressAt(devOperatorOffset),
		Peer:     addressAt(devPeerOffset),
		Engine:   addressAt(devEngineOffset),
		Service:  addressAt(devServiceOffset),
	}, nil
}

// StartDev starts the control instance, the entry and the fake backend servers,
// with durable state in folder, and waits until the entry can serve requests.
// The caller ends the site with Shutdown or Close.
func StartDev(addresses DevAddresses, folder string, environment Environment) (*Dev, error) {
	d := &Dev{Addresses: addresses, Engine: &fake.Engine{}, Service: &fake.Service{}}
	err := d.start(folder, environment)
	if err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Dev) start(folder string, environment Environment) error {
	engine, err := StartFake(environment.Network, d.Addresses.Engine, d.Engine.Handler())
	if err != nil {
		return err
	}
	d.closers.add(engine.Close)
	service, err := StartFake(environment.Network, d.Addresses.Service, d.Service.Handler())
	if err != nil {
		return err
	}
	d.closers.add(service.Close)
	control, entry, err := d.writeSettings(folder)
	if err != nil {
		return err
	}
	d.Control, err = StartControl(control, environment)
	if err != nil {
		return err
	}
	d.closers.add(d.Control.Close)
	d.Entry, err = StartEntry(entry, environment)
	if err != nil {
		return err
	}
	d.closers.add(d.Entry.Close)
	select {
	case <-d.Entry.Watcher.Ready():
		return nil
	case <-time.After(devReadyTimeout):
		return errors.New("the site has no configuration after 5s: see the log for the cause")
	}
}

// writeSettings writes the initial configuration and the operator's key to
// folder and returns the settings of the control instance and the entry.
func (d *Dev) writeSettings(folder string) (control, entry *settings.Settings, err error) {
	document, err := json.MarshalIndent(d.document(), "", "  ")
	if err != nil {
		return nil, nil, errors.Newf("encode initial configuration: %w", err)
	}
	documentPath := filepath.Join(folder, "configuration.json")
	err = os.WriteFile(documentPath, document, devFileMode)
	if err != nil {
		return nil, nil, errors.Newf("write initial configuration: %w", err)
	}
	keyPath := filepath.Join(folder, "operator.key")
	err = os.WriteFile(keyPath, []byte(DevOperatorKey+"\n"), devFileMode)
	if err != nil {
		return nil, nil, errors.Newf("write operator key: %w", err)
	}
	controls := []settings.Control{{InstanceID: "control-1", FailureDomain: devDomain, PeerAddress: d.Addresses.Peer}}
	control = &settings.Settings{
		InstanceID:      "control-1",
		Role:            settings.RoleControl,
		FailureDomain:   devDomain,
		PeerAddress:     d.Addresses.Peer,
		OperatorAddress: d.Addresses.Operator,
		DataFolder:      folder,
		Controls:        controls,
		Operators:       []settings.Operator{{Name: "dev", Key: settings.Secret{File: keyPath}}},
		Configuration:   documentPath,
		Deposits:        []settings.Deposit{{ID: "first", Workspace: devWorkspace, Tokens: devDeposit}},
	}
	lag := check.Duration(devShutdownLag)
	entry = &settings.Settings{
		InstanceID:    "entry-1",
		Role:          settings.RoleEntry,
		FailureDomain: devDomain,
		CallerAddress: d.Addresses.Entry,
		Controls:      controls,
		Shutdown:      settings.Shutdown{Lag: &lag},
	}
	return control, entry, nil
}

// document returns the initial configuration: one workspace that may use the fake
// engine and the fake service.
func (d *Dev) document() config.Document {
	return config.Document{
		Workspaces: map[string]config.Workspace{
			devWorkspace: {KeyHashes: []string{config.HashKey(DevKey)}, Works: []string{"chat", "records"}},
		},
		BackendServers: map[string]config.BackendServer{
			"engine-1":  {Address: d.Addresses.Engine, FailureDomain: devDomain, Kind: config.KindModel},
			"service-1": {Address: d.Addresses.Service, FailureDomain: devDomain, Kind: config.KindService},
		},
		Works: map[string]config.Work{
			"chat":    {Kind: config.KindModel, Model: "demo", Priority: config.PriorityInteractive, BackendServers: []string{"engine-1"}},
			"records": {Kind: config.KindService, BackendServers: []string{"service-1"}},
		},
		Routes: map[string]config.Route{
			"demo":    {Work: "chat"},
			"records": {Work: "records"},
		},
	}
}

// Shutdown stops the site once the requests in progress have ended, or when ctx
// ends.
func (d *Dev) Shutdown(ctx context.Context) {
	d.Entry.Shutdown(ctx)
	d.Close()
}

// Close stops the site without waiting for requests in progress.
func (d *Dev) Close() {
	d.closers.close()
}
