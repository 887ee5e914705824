package router

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/settings"
)

// peerTLS returns a configuration that admits only routers with a certificate of the authority, or nil if none is set.
func peerTLS(p settings.Peers) (*tls.Config, error) {
	if p.Authority == "" {
		return nil, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(p.Authority)) {
		return nil, errors.New("peers.authority: expected a PEM certificate")
	}
	certificate, err := tls.X509KeyPair([]byte(p.Certificate), []byte(p.Key))
	if err != nil {
		return nil, errors.Wrap(err, "peers.certificate and peers.key")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		ServerName:   PeerServerName,
	}, nil
}

// PeerServerName is the server name in every router's certificate, since peers connect by IP address.
const PeerServerName = "vanillaroute-router"
