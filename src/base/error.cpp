#include "samphiretray/base/error.h"

namespace samphiretray {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "samphiretray"; }
    [[nodiscard]] std::string message(int value) const override {
        return std::string{name_of(static_cast<errc>(value))};
    }
};

} // namespace

const std::error_category& error_category() noexcept {
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), error_category()};
}

std::string to_string(const error& failure) {
    std::string text = "step=";
    text += name_of(failure.failed_step);
    text += " peer=";
    text += failure.peer.empty() ? "none" : failure.peer;
    text += " code=";
    text += failure.code.message();
    text += " detail=\"";
    text += failure.detail;
    text += '"';
    return text;
}

} // namespace samphiretray
