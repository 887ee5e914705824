package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/process/router"
	"github.com/vanillaroute/vanillaroute/settings"
)

const (
	validity   = 24 * time.Hour
	serialBits = 120
)

// Authority is a certificate authority that issues the certificates of routers.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         string
}

// NewAuthority returns an authority with a new key and a certificate of its own that is valid for 24 hours from now.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(now)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority")
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority")
	}
	return &Authority{certificate: certificate, key: key, pem: encodePEM("CERTIFICATE", raw)}, nil
}

// Issue returns the peer settings of a router with a new key and a certificate that is valid for 24 hours from now.
func (a *Authority) Issue(now time.Time) (settings.Peers, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return settings.Peers{}, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(now)
	if err != nil {
		return settings.Peers{}, err
	}
	template.DNSNames = []string{router.PeerServerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return settings.Peers{}, errors.Wrap(err, "create certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return settings.Peers{}, errors.Wrap(err, "encode key")
	}
	return settings.Peers{Authority: a.pem, Certificate: encodePEM("CERTIFICATE", raw), Key: encodePEM("PRIVATE KEY", private)}, nil
}

func newTemplate(now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: router.PeerServerName},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(validity),
	}, nil
}

func encodePEM(kind string, raw []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}))
}
