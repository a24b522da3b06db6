package client

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// LoadTLS loads the client's configuration for mutual TLS from PEM files. It returns
// nil if all paths are empty, and an error if only some are.
func LoadTLS(certificate, key, authority string) (*tls.Config, error) {
	if certificate == "" && key == "" && authority == "" {
		return nil, nil
	}
	if certificate == "" || key == "" || authority == "" {
		return nil, errors.New("certificate, key and authority belong together")
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Annotatef(err, "reading certificate %s and its key", certificate)
	}
	text, err := os.ReadFile(authority)
	if err != nil {
		return nil, errors.Annotate(err, "reading the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s holds no certificate in PEM form", authority)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool}, nil
}
