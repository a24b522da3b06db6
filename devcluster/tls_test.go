package devcluster

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/operator/client"
	"primrosedale.example/primrosedale/settings"
)

// authority issues certificates for the hosts of a cluster on one loopback address.
type authority struct {
	ip     netip.Addr
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

func newAuthority(t *testing.T, ip netip.Addr) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a := &authority{ip: ip, folder: t.TempDir(), key: key, serial: 1}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	writePEM(t, a.path("authority.pem"), "CERTIFICATE", der)
	return a
}

func (a *authority) path(name string) string { return filepath.Join(a.folder, name) }

// issue writes a certificate that is valid until the given time and returns
// the settings that use it.
func (a *authority) issue(t *testing.T, name string, until time.Time) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until,
		IPAddresses: []net.IP{a.ip.AsSlice()},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	s := settings.TLS{
		Mode: settings.ModeMutual, Certificate: a.path(name + ".pem"),
		Key: a.path(name + ".key"), Authority: a.path("authority.pem"),
	}
	writePEM(t, s.Certificate, "CERTIFICATE", der)
	writePEM(t, s.Key, "PRIVATE KEY", private)
	return s
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// operatorClient uses the certificate of s.
func operatorClient(t *testing.T, c *Cluster, s settings.TLS) *client.Client {
	config, err := client.LoadTLS(s.Certificate, s.Key, s.Authority)
	require.NoError(t, err)
	return client.New(c.OperatorAddresses(), config)
}

// Guards against peers and operators that are accepted without a valid certificate of the
// cluster's authority, and against a replaced certificate that takes effect only after a
// restart.
func TestMutualTLS(t *testing.T) {
	list := layout(t, 3, 0)
	ip := list[0].Listen.Peers.Addr()
	good, other := newAuthority(t, ip), newAuthority(t, ip)
	for _, s := range list {
		s.TLS = good.issue(t, string(s.Host), time.Now().Add(time.Hour))
	}
	log := &safeBuffer{}
	c := startCluster(t, list, log, true)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	operators := operatorClient(t, c, good.issue(t, "operator", time.Now().Add(time.Hour)))
	require.NoError(t, waitForService(ctx, operators))

	stranger := operatorClient(t, c, other.issue(t, "stranger", time.Now().Add(time.Hour)))
	_, err := stranger.Status(ctx)
	require.Error(t, err, "a certificate of another authority")
	expired := operatorClient(t, c, good.issue(t, "expired", time.Now().Add(-time.Minute)))
	_, err = expired.Status(ctx)
	require.Error(t, err, "an expired certificate")
	_, err = client.New(c.OperatorAddresses(), nil).Status(ctx)
	require.Error(t, err, "no TLS")

	peer := list[0].Listen.Peers.String()
	for name, s := range map[string]settings.TLS{
		"other authority": other.issue(t, "peer", time.Now().Add(time.Hour)),
		"expired":         good.issue(t, "late", time.Now().Add(-time.Minute)),
	} {
		require.Error(t, handshake(t, peer, s), name)
	}
	require.Eventually(t, func() bool { return log.contains(`id=512`) }, startTimeout, 10*time.Millisecond)

	// A replaced certificate is used for the next connection.
	good.issue(t, string(list[0].Host), time.Now().Add(2*time.Hour))
	require.NoError(t, handshake(t, peer, good.issue(t, "peer", time.Now().Add(time.Hour))))
	require.Greater(t, time.Until(serverExpiry(t, peer, good)), 90*time.Minute)
}

// handshake connects with the certificate of s and then reads, because a TLS 1.3 client
// learns of a rejected certificate only after its own handshake is complete.
func handshake(t *testing.T, address string, s settings.TLS) error {
	config, err := client.LoadTLS(s.Certificate, s.Key, s.Authority)
	require.NoError(t, err)
	config.InsecureSkipVerify = true
	conn, err := tls.Dial("tcp", address, config)
	if err != nil {
		return err
	}
	defer conn.Close()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return nil
	}
	return err
}

func serverExpiry(t *testing.T, address string, a *authority) time.Time {
	s := a.issue(t, "reader", time.Now().Add(time.Hour))
	config, err := client.LoadTLS(s.Certificate, s.Key, s.Authority)
	require.NoError(t, err)
	conn, err := tls.Dial("tcp", address, config)
	require.NoError(t, err)
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].NotAfter
}
