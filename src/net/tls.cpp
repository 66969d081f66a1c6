#include "tls.h"

#include <h2o.h>
#include <openssl/err.h>

#include <array>

namespace samphiretray::net {

namespace {

error tls_file_error(const std::string& file, const std::string& problem) {
    std::array<char, 256> reason{};
    ERR_error_string_n(ERR_get_error(), reason.data(), reason.size());
    ERR_clear_error();
    return make_error(errc::invalid_argument, step::configure, "",
                      "file " + file + " " + problem + ": " + reason.data());
}

} // namespace

result<tls_context> load_tls_context(const std::string& certificate_file,
                                     const std::string& private_key_file) {
    ERR_clear_error();
    tls_context context{SSL_CTX_new(TLS_server_method())};
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    SSL_CTX_set_options(context.get(), SSL_OP_NO_RENEGOTIATION);
    if (SSL_CTX_use_certificate_chain_file(context.get(), certificate_file.c_str()) != 1) {
        return tls_file_error(certificate_file, "is not a PEM certificate chain");
    }
    if (SSL_CTX_use_PrivateKey_file(context.get(), private_key_file.c_str(), SSL_FILETYPE_PEM) != 1) {
        return tls_file_error(private_key_file, "is not a PEM private key for the certificate");
    }
    if (SSL_CTX_check_private_key(context.get()) != 1) {
        return tls_file_error(private_key_file, "does not match the certificate");
    }
    h2o_ssl_register_alpn_protocols(context.get(), h2o_alpn_protocols);
    return context;
}

} // namespace samphiretray::net
