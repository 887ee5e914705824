package site

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/standin/check"
	"github.com/vanillaroute/vanillaroute/standin/service"
	"github.com/vanillaroute/vanillaroute/tomlfile"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/lists"
)

const fileMode = 0o600

type (
	// Description lists the addresses and keys of a deployment for tools. Addresses have the form "http://IP:port".
	Description struct {
		Routers       []string       `json:"routers"`
		Organisations []Organisation `json:"organisations"`
		OperatorKey   string         `json:"operatorKey"`
		Engines       []EngineInfo   `json:"engines"`
		Services      []ServiceInfo  `json:"services"`
		Store         string         `json:"store"`
		Instances     string         `json:"instances"`
	}

	// EngineInfo describes a simulated engine.
	EngineInfo struct {
		ID            string       `json:"id"`
		Model         ident.Model  `json:"model"`
		FailureDomain ident.Domain `json:"failureDomain"`
		Address       string       `json:"address"`
	}

	// ServiceInfo describes an instance of a simulated service.
	ServiceInfo struct {
		Name    ident.Service `json:"name"`
		ID      string        `json:"id"`
		Address string        `json:"address"`
	}
)

// Describe returns the description of the site with the given routers.
func (s *Site) Describe(routers []string, operatorKey string) Description {
	d := Description{
		Routers: routers, Organisations: s.Organisations, OperatorKey: operatorKey,
		Store: "http://" + s.StoreAddress(), Instances: "http://" + s.InstancesAddress(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.instances {
		switch i.Role {
		case fleet.RoleEngine:
			d.Engines = append(d.Engines, EngineInfo{ID: i.ID, Model: s.Config.Model, FailureDomain: i.FailureDomain, Address: "http://" + i.Address})
		case fleet.RoleService:
			d.Services = append(d.Services, ServiceInfo{Name: i.Service, ID: i.ID, Address: "http://" + i.Address})
		}
	}
	return d
}

// WriteFile writes the description to a file as JSON.
func (d Description) WriteFile(name string) error {
	body, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode description")
	}
	return errors.Wrap(os.WriteFile(name, append(body, '\n'), fileMode), "write description")
}

// ReadDescription reads a file written by WriteFile. It returns an error if the description has no router or no engine.
func ReadDescription(name string) (Description, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Description{}, errors.Wrap(err, "read description")
	}
	var d Description
	if err := json.Unmarshal(data, &d); err != nil {
		return Description{}, errors.Wrap(err, "decode description")
	}
	if len(d.Routers) == 0 || len(d.Engines) == 0 {
		return Description{}, errors.New("description without routers or engines")
	}
	return d, nil
}

// DuplicateExecutions reads the logs of the services and describes the idempotency keys whose call ran more than once.
func (d Description) DuplicateExecutions(ctx context.Context) ([]string, error) {
	var all []service.Entry
	for _, s := range d.Services {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.Address+"/standin/log", nil)
		if err != nil {
			return nil, errors.Wrap(err, "build request")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, errors.Wrap(err, "read log")
		}
		var log []service.Entry
		err = json.NewDecoder(resp.Body).Decode(&log)
		_ = resp.Body.Close()
		if err != nil {
			return nil, errors.Wrap(err, "decode log")
		}
		all = append(all, log...)
	}
	return check.DuplicateExecutionsInLog(all), nil
}

// Settings returns the settings of a router of this site with the given addresses for callers and peers.
func (s *Site) Settings(id ident.Router, domain ident.Domain, callers, peers netip.AddrPort, operatorKey string) (settings.Settings, error) {
	var v settings.Settings
	v.Router.ID = id
	v.Router.FailureDomain = domain
	v.Operators.KeyHash = lists.HashKey(operatorKey)
	v.Services = []settings.Service{{Name: BookingService, NonIdempotent: []string{"POST /bookings"}}}
	v.Router.Callers.AddrPort, v.Router.Peers.AddrPort = callers, peers
	for _, a := range []struct {
		field *tomlfile.Address
		value string
	}{{&v.Platform.Store, s.StoreAddress()}, {&v.Platform.Instances, s.InstancesAddress()}} {
		parsed, err := netip.ParseAddrPort(a.value)
		if err != nil {
			return v, errors.Wrap(err, "parse platform address")
		}
		a.field.AddrPort = parsed
	}
	v.SetDefaults()
	return v, nil
}

// WriteSettings writes a settings file for each router to a directory and returns the URLs at which the routers serve callers.
func (s *Site) WriteSettings(dir string, all []settings.Settings) ([]string, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	var addresses []string
	for _, v := range all {
		body, err := toml.Marshal(v)
		if err != nil {
			return nil, errors.Wrap(err, "encode settings")
		}
		if err := os.WriteFile(filepath.Join(dir, string(v.Router.ID)+".toml"), body, fileMode); err != nil {
			return nil, errors.Wrap(err, "write settings")
		}
		addresses = append(addresses, "http://"+v.Router.Callers.String())
	}
	return addresses, nil
}

// RegisterRouter adds a router to the list of instances.
func (s *Site) RegisterRouter(v settings.Settings) {
	s.AddInstance(fleet.Instance{
		ID: string(v.Router.ID), Role: fleet.RoleRouter, Address: v.Router.Callers.String(), PeerAddress: v.Router.Peers.String(),
		FailureDomain: v.Router.FailureDomain, State: fleet.StateLive,
	})
}

// NextAddress returns an unused loopback address; no other site uses it either.
func (s *Site) NextAddress() netip.AddrPort { return s.network.NextAddress() }
