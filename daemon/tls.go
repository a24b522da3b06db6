package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"

	"primrosedale.example/primrosedale/settings"
)

// tlsConfigs returns the configurations for accepting and for dialling, both
// nil in plain mode. Certificates are read again for each connection, so that
// they can be replaced without a restart.
func tlsConfigs(s settings.TLS) (server, client *tls.Config, err error) {
	if s.Mode == settings.ModePlain {
		return nil, nil, nil
	}
	if _, err := loadCertificate(s); err != nil {
		return nil, nil, err
	}
	if _, err := loadAuthority(s); err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return currentServerConfig(s)
		},
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is verified in VerifyConnection, against the authority as it
		// is on disk at that time.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(s, state)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return loadCertificate(s)
		},
	}
	return server, client, nil
}

func currentServerConfig(s settings.TLS) (*tls.Config, error) {
	certificate, err := loadCertificate(s)
	if err != nil {
		return nil, err
	}
	authority, err := loadAuthority(s)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority,
	}, nil
}

func loadCertificate(s settings.TLS) (*tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, errors.Annotatef(err, "reading certificate %s and its key", s.Certificate)
	}
	return &certificate, nil
}

func loadAuthority(s settings.TLS) (*x509.CertPool, error) {
	text, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, errors.Annotate(err, "reading the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s holds no certificate in PEM form", s.Authority)
	}
	return pool, nil
}

// verifyPeer checks that the server's certificate was issued by the cluster's
// authority and has not expired. The host's name is checked with the hello message of
// the peer protocol.
func verifyPeer(s settings.TLS, state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	authority, err := loadAuthority(s)
	if err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Annotate(err, "verifying the peer's certificate")
}
