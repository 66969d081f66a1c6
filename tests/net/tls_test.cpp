#include "samphiretray/net/http_server.h"

#include "src/net/socket_address.h"
#include "tests/support/raw_socket.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>

using namespace samphiretray;
using namespace samphiretray::net;
using samphiretray::net::testing::hang_limit;

namespace {

/// Writes a self-signed certificate with the common name `name`, and its private key.
void write_certificate(const std::string& certificate_file, const std::string& key_file, const char* name) {
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key{EVP_EC_gen("P-256"), EVP_PKEY_free};
    const std::unique_ptr<X509, decltype(&X509_free)> certificate{X509_new(), X509_free};
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME* subject = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>(name), -1,
                               -1, 0);
    X509_set_issuer_name(certificate.get(), subject);
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    std::FILE* file = std::fopen(certificate_file.c_str(), "w");
    PEM_write_X509(file, certificate.get());
    std::fclose(file);
    file = std::fopen(key_file.c_str(), "w");
    PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
}

/// A non-blocking TLS client; its operations run the loop and are retried until they succeed.
class tls_client {
public:
    tls_client(loop& events, const address& peer) : events_(events) {
        const auto target = to_socket_address(peer);
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        REQUIRE(::connect(descriptor_, target->get(), target->length) == 0);
        ::fcntl(descriptor_, F_SETFL, O_NONBLOCK);
        SSL_set_fd(session_.get(), descriptor_);
        REQUIRE(retry_until_done([this] { return SSL_connect(session_.get()); }));
    }
    ~tls_client() { ::close(descriptor_); }
    tls_client(const tls_client&) = delete;
    tls_client& operator=(const tls_client&) = delete;

    std::string subject() {
        const std::unique_ptr<X509, decltype(&X509_free)> peer{SSL_get1_peer_certificate(session_.get()),
                                                               X509_free};
        std::array<char, 64> name{};
        X509_NAME_get_text_by_NID(X509_get_subject_name(peer.get()), NID_commonName, name.data(),
                                  name.size());
        return name.data();
    }

    /// Sends a request and reads until `text` has been received.
    bool exchange(const std::string& request, const std::string& text) {
        std::array<char, 4096> buffer{};
        std::string received;
        REQUIRE(retry_until_done(
            [&] { return SSL_write(session_.get(), request.data(), static_cast<int>(request.size())); }));
        return retry_until_done([&] {
            const int count = SSL_read(session_.get(), buffer.data(), buffer.size());
            received.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
            return received.find(text) != std::string::npos ? 1 : 0;
        });
    }

private:
    bool retry_until_done(const std::function<int()>& step) {
        const timer_handle tick = events_.every(1ms, [] {});
        return events_.run_until([&] { return step() > 0; }, hang_limit);
    }

    loop& events_;
    std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context_{SSL_CTX_new(TLS_client_method()),
                                                               SSL_CTX_free};
    std::unique_ptr<SSL, decltype(&SSL_free)> session_{SSL_new(context_.get()), SSL_free};
    int descriptor_ = -1;
};

struct tls_fixture {
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("samphiretray-tls-" + std::to_string(::getpid()));
    std::string certificate = folder / "certificate.pem";
    std::string key = folder / "key.pem";
    loop events;
    std::unique_ptr<http_server> server;

    tls_fixture() {
        std::filesystem::create_directories(folder);
        write_certificate(certificate, key, "first");
        auto created = create();
        REQUIRE(created);
        server = std::move(created).value();
    }
    ~tls_fixture() { std::filesystem::remove_all(folder); }
    tls_fixture(const tls_fixture&) = delete;
    tls_fixture& operator=(const tls_fixture&) = delete;

    result<std::unique_ptr<http_server>> create() {
        http_server_options options;
        options.listen = {"127.0.0.1", 0};
        options.certificate_file = certificate;
        options.private_key_file = key;
        return http_server::create(events, options,
                                   [](const http_request&, const std::shared_ptr<http_response>& response) {
                                       response->send(200, {}, "hello");
                                   });
    }
};

constexpr const char* get_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("a reloaded certificate applies to new connections and keeps the open ones") {
    tls_fixture fixture;
    tls_client before{fixture.events, fixture.server->local_address()};
    CHECK(before.subject() == "first");
    CHECK(before.exchange(get_request, "hello"));
    write_certificate(fixture.certificate, fixture.key, "second");
    REQUIRE(fixture.server->reload_certificates());
    tls_client after{fixture.events, fixture.server->local_address()};
    CHECK(after.subject() == "second");
    CHECK(after.exchange(get_request, "hello"));
    CHECK(before.exchange(get_request, "hello"));
}

TEST_CASE("invalid certificate files are errors, and the old certificate stays in use") {
    tls_fixture fixture;
    SECTION("the certificate is not a PEM file") {
        std::ofstream{fixture.certificate} << "none";
    }
    SECTION("the key is missing") {
        std::filesystem::remove(fixture.key);
    }
    SECTION("the key belongs to another certificate") {
        write_certificate(fixture.folder / "other.pem", fixture.key, "other");
    }
    const status reloaded = fixture.server->reload_certificates();
    REQUIRE_FALSE(reloaded);
    CHECK(reloaded.error().code == errc::invalid_argument);
    CHECK_FALSE(fixture.create());
    tls_client client{fixture.events, fixture.server->local_address()};
    CHECK(client.subject() == "first");
}
