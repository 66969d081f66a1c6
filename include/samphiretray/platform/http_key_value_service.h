#pragma once

#include "samphiretray/net/address.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/platform/key_value.h"
#include "samphiretray/platform/pending_calls.h"

#include <cstdint>
#include <string>
#include <vector>

namespace samphiretray::platform {

/// The key-value service over HTTP; see docs/protocols.md.
class http_key_value_service {
public:
    http_key_value_service(net::http_client& client, net::address service);

    void read(const std::string& key, completion<versioned_value> done);
    void compare_and_swap(const swap_request& swap, completion<std::uint64_t> done);
    void watch(const std::string& key, std::uint64_t after, duration limit, completion<versioned_value> done);

    /// Keys that begin with `prefix`, for operators' commands.
    void list(const std::string& prefix, completion<std::vector<std::string>> done);

    /// Calls made so far; watches count once.
    [[nodiscard]] std::uint64_t reads() const noexcept { return reads_; }
    [[nodiscard]] std::uint64_t writes() const noexcept { return writes_; }

private:
    [[nodiscard]] net::http_call make_call(std::string method, std::string target, duration timeout) const;

    net::address service_;
    std::string peer_;
    pending_calls calls_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

static_assert(key_value_service<http_key_value_service>);

} // namespace samphiretray::platform
