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

// tlsProvider provides the TLS configurations. It reloads the certificate and the peer authority once per reload interval.
type tlsProvider struct {
	settings config.TLS
	current  atomic.Pointer[credentials]
}

// credentials holds this instance's certificate and the authority that signs the certificates of its peers.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

func newTLSProvider(se config.TLS) (*tlsProvider, error) {
	tp := &tlsProvider{settings: se}
	if se.PlainText {
		return tp, nil
	}
	return tp, tp.reload()
}

func (tp *tlsProvider) reload() error {
	cert, err := tls.LoadX509KeyPair(tp.settings.Certificate, tp.settings.Key)
	if err != nil {
		return eris.Wrap(err, "load the certificate")
	}
	data, err := os.ReadFile(tp.settings.PeerAuthority)
	if err != nil {
		return eris.Wrap(err, "load the peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return eris.Errorf("the file %s holds no certificate", tp.settings.PeerAuthority)
	}
	tp.current.Store(&credentials{certificate: cert, authority: pool})
	return nil
}

// Loop reloads the files once per reload interval until the context ends. If the files cannot be loaded, the previous ones stay in use.
func (tp *tlsProvider) Loop(ctx context.Context) error {
	if tp.settings.PlainText {
		<-ctx.Done()
		return nil
	}
	return every(ctx, tp.settings.ReloadInterval, func(context.Context) { _ = tp.reload() })
}

func (tp *tlsProvider) peerScheme() string {
	if tp.settings.PlainText {
		return "http"
	}
	return "https"
}

// callerServerConfig returns the TLS configuration of the callers' server, or nil for plain text.
func (tp *tlsProvider) callerServerConfig() *tls.Config {
	if tp.settings.PlainText || tp.settings.CallersPlainText {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: tp.getCertificate}
}

// peerServerConfig returns the TLS configuration of the peers' server, which requires a client certificate signed by the
// authority, or nil for plain text.
func (tp *tlsProvider) peerServerConfig() *tls.Config {
	if tp.settings.PlainText {
		return nil
	}
	base := &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: tp.getCertificate, ClientAuth: tls.RequireAndVerifyClientCert}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cf := base.Clone()
		cf.ClientCAs = tp.current.Load().authority
		return cf, nil
	}
	return base
}

// peerClientConfig returns the TLS configuration for calls to other instances, or nil for plain text.
func (tp *tlsProvider) peerClientConfig() *tls.Config {
	if tp.settings.PlainText {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &tp.current.Load().certificate, nil
		},
		// A fixed RootCAs pool would miss reloads, so VerifyConnection verifies against the authority loaded last.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies
		VerifyConnection:   tp.verifyPeer,
	}
}

func (tp *tlsProvider) verifyPeer(cs tls.ConnectionState) error {
	opts := x509.VerifyOptions{Roots: tp.current.Load().authority, Intermediates: x509.NewCertPool(), DNSName: cs.ServerName}
	for _, cert := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}

func (tp *tlsProvider) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &tp.current.Load().certificate, nil
}
