package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"azuredyke.dev/azuredyke/common/settings"
)

// content holds the bytes of the files. A change is detected by comparing contents, because file times can be too coarse.
type content struct {
	certificate, key, ca string
}

func readContent(paths settings.TLSFiles) (content, error) {
	var c content
	for _, item := range []struct {
		path   string
		target *string
	}{{paths.Certificate, &c.certificate}, {paths.Key, &c.key}, {paths.CA, &c.ca}} {
		if item.path == "" {
			continue
		}
		data, err := os.ReadFile(item.path)
		if err != nil {
			return c, Error.Wrap(err)
		}
		*item.target = string(data)
	}
	return c, nil
}

// parse parses the files. Its errors name the files and never show the key.
func (c content) parse(paths settings.TLSFiles) (*credentials, error) {
	m := &credentials{content: c}
	if paths.Certificate != "" || paths.Key != "" {
		pair, err := tls.X509KeyPair([]byte(c.certificate), []byte(c.key))
		if err != nil {
			return nil, Error.New("certificate %s and key %s: %w", paths.Certificate, paths.Key, err)
		}
		m.certificate = &pair
	}
	if paths.CA != "" {
		m.pool = x509.NewCertPool()
		if !m.pool.AppendCertsFromPEM([]byte(c.ca)) {
			return nil, Error.New("CA %s holds no certificate", paths.CA)
		}
	}
	return m, nil
}
