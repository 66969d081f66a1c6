#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace samphiretray::standins {

enum class begin_load_result { start, already_loaded, already_loading, fenced, no_slot };
enum class unload_result { done, not_loaded, fenced };

/// Adapter slots of the engine stand-in, with the highest fencing number that the engine has seen.
class adapter_slots {
public:
    adapter_slots(std::uint32_t slots, bool checks_fencing)
        : slots_(slots), checks_fencing_(checks_fencing) {}

    /// Reserves a slot if the result is `start`; `finish_load` must follow.
    [[nodiscard]] begin_load_result begin_load(const std::string& name, std::uint64_t fencing);
    /// Marks the adapter as loaded, or frees its slot if the load failed. Does nothing if `clear` has dropped
    /// the load.
    void finish_load(const std::string& name, bool succeeded);
    [[nodiscard]] unload_result unload(const std::string& name, std::uint64_t fencing);
    /// Empties all slots and resets the highest fencing number, as a restart does.
    void clear();

    [[nodiscard]] bool is_loaded(const std::string& name) const { return loaded_.contains(name); }
    [[nodiscard]] const std::set<std::string>& loaded() const noexcept { return loaded_; }
    [[nodiscard]] std::uint32_t slots() const noexcept { return slots_; }
    /// Number of commands whose fencing number was lower than an earlier one, whether they were refused or
    /// not.
    [[nodiscard]] std::uint64_t stale_commands() const noexcept { return stale_commands_; }

private:
    /// Records the fencing number and counts a stale command. Returns true if the command must be refused.
    bool is_fenced(std::uint64_t fencing);

    std::uint32_t slots_;
    bool checks_fencing_;
    std::set<std::string> loaded_;
    std::set<std::string> loading_;
    std::uint64_t highest_fencing_ = 0;
    std::uint64_t stale_commands_ = 0;
};

} // namespace samphiretray::standins
