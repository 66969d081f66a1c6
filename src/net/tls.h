#pragma once

#include "samphiretray/base/error.h"

#include <openssl/ssl.h>

#include <memory>
#include <string>

namespace samphiretray::net {

struct tls_context_deleter {
    void operator()(SSL_CTX* context) const noexcept { SSL_CTX_free(context); }
};

using tls_context = std::unique_ptr<SSL_CTX, tls_context_deleter>;

/// Creates a server context for TLS 1.2 and later from PEM files. Fails with `errc::invalid_argument` (step
/// `configure`) if a file cannot be read or the key does not match the certificate.
[[nodiscard]] result<tls_context> load_tls_context(const std::string& certificate_file,
                                                   const std::string& private_key_file);

} // namespace samphiretray::net
