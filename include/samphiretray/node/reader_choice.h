#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/net/address.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::node {

/// Decides who reads from the store for a data centre, and whom the others ask.
///
/// The readers are the first of the registered entries in an order that all of them work out for themselves.
/// Nothing is agreed on: two processes with different lists may both read, or ask one that does not read, and
/// each of them reads from the store itself as soon as whom it asked has nothing fresh.
class reader_choice {
public:
    /// Readers of one data centre: one that ends or stalls leaves another.
    static constexpr std::size_t readers = 2;
    /// A reader that had nothing to tell is not asked again for this long.
    static constexpr duration pause = 2s;

    struct member {
        std::string vm;
        net::address at;
    };

    /// `vm` is this process.
    explicit reader_choice(std::string vm) : vm_(std::move(vm)) {}

    /// The other registered entries of the data centre.
    void set_members(std::vector<member> others);
    /// Whom to ask; nothing if this process reads from the store itself.
    [[nodiscard]] std::optional<member> source(time_point now) const;
    /// Whom to ask when the store does not answer this process; nothing if no reader is known.
    [[nodiscard]] std::optional<member> substitute(time_point now) const;
    /// Whether this process is one of the readers.
    [[nodiscard]] bool is_reader() const;
    /// Whether this process is one of the readers and others may ask it.
    [[nodiscard]] bool reads_for_others() const;
    /// `vm` did not answer, or had nothing fresh.
    void failed(const std::string& vm, time_point now);

private:
    std::string vm_;
    /// The readers in their order, without this process.
    std::vector<member> sources_;
    bool is_reader_ = true;
    std::size_t members_ = 1;
    std::map<std::string, time_point> paused_until_;
};

} // namespace samphiretray::node
