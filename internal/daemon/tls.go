package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/internal/config"
)

// tlsProvider holds the certificate and the authority, which are read again when their files change.
type tlsProvider struct {
	settings config.TLS
	current  atomic.Pointer[credentials]
}

type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

func newTLSProvider(se config.TLS) (*tlsProvider, error) {
	sc := &tlsProvider{settings: se}
	if se.PlainText {
		return sc, nil
	}
	return sc, sc.reload()
}

func (sc *tlsProvider) reload() error {
	cert, err := tls.LoadX509KeyPair(sc.settings.Certificate, sc.settings.Key)
	if err != nil {
		return eris.Wrap(err, "load the certificate")
	}
	data, err := os.ReadFile(sc.settings.PeerAuthority)
	if err != nil {
		return eris.Wrap(err, "load the peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return eris.Errorf("the file %s holds no certificate", sc.settings.PeerAuthority)
	}
	sc.current.Store(&credentials{certificate: cert, authority: pool})
	return nil
}

// Loop reads the files again until the context ends; files that cannot be used leave the old ones in force.
func (sc *tlsProvider) Loop(ctx context.Context) error {
	if sc.settings.PlainText {
		<-ctx.Done()
		return nil
	}
	return every(ctx, sc.settings.ReloadInterval, func(context.Context) { _ = sc.reload() })
}

func (sc *tlsProvider) peerScheme() string {
	if sc.settings.PlainText {
		return "http"
	}
	return "https"
}

// callerServerConfig returns the TLS settings of the callers' server, or nil for plain text.
func (sc *tlsProvider) callerServerConfig() *tls.Config {
	if sc.settings.PlainText || sc.settings.CallersPlainText {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: sc.getCertificate}
}

// peerServerConfig returns the TLS settings of the peers' server, which asks for a certificate of the authority.
func (sc *tlsProvider) peerServerConfig() *tls.Config {
	if sc.settings.PlainText {
		return nil
	}
	base := &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: sc.getCertificate, ClientAuth: tls.RequireAndVerifyClientCert}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cf := base.Clone()
		cf.ClientCAs = sc.current.Load().authority
		return cf, nil
	}
	return base
}

// peerClientConfig returns the TLS settings towards other instances.
func (sc *tlsProvider) peerClientConfig() *tls.Config {
	if sc.settings.PlainText {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &sc.current.Load().certificate, nil
		},
		// The verification uses the authority in force at the time of the handshake.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies
		VerifyConnection:   sc.verifyPeer,
	}
}

func (sc *tlsProvider) verifyPeer(cs tls.ConnectionState) error {
	opts := x509.VerifyOptions{Roots: sc.current.Load().authority, Intermediates: x509.NewCertPool(), DNSName: cs.ServerName}
	for _, cert := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}

func (sc *tlsProvider) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &sc.current.Load().certificate, nil
}
