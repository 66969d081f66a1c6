#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace samphiretray::standins {

enum class load_verdict { start, already_loaded, already_loading, fenced, no_slot };
enum class unload_verdict { done, not_loaded, fenced };

/// Adapter slots of the engine stand-in and its memory of fencing numbers.
class adapter_slots {
public:
    adapter_slots(std::uint32_t slots, bool checks_fencing)
        : slots_(slots), checks_fencing_(checks_fencing) {}

    /// Reserves a slot if the verdict is `start`; `finish_load` must follow.
    [[nodiscard]] load_verdict begin_load(const std::string& name, std::uint64_t fencing);
    /// Frees the slot again if the load failed. Ignored if the load was lost in a restart.
    void finish_load(const std::string& name, bool succeeded);
    [[nodiscard]] unload_verdict unload(const std::string& name, std::uint64_t fencing);
    /// Empties all slots and forgets the fencing number.
    void clear();

    [[nodiscard]] bool is_loaded(const std::string& name) const { return loaded_.contains(name); }
    [[nodiscard]] const std::set<std::string>& loaded() const noexcept { return loaded_; }
    [[nodiscard]] std::uint32_t slots() const noexcept { return slots_; }
    /// Commands with a lower fencing number than an earlier one, whether refused or not.
    [[nodiscard]] std::uint64_t stale_commands() const noexcept { return stale_commands_; }

private:
    /// True if the command must be refused.
    bool is_fenced(std::uint64_t fencing);

    std::uint32_t slots_;
    bool checks_fencing_;
    std::set<std::string> loaded_;
    std::set<std::string> loading_;
    std::uint64_t highest_fencing_ = 0;
    std::uint64_t stale_commands_ = 0;
};

} // namespace samphiretray::standins
