#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/net/address.h"

#include <popt.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace samphiretray::standins {

/// Parses the options of one subcommand with popt. A target keeps its value if its option is not given.
class option_parser {
public:
    void add(const char* name, std::string& target, const char* help);
    void add(const char* name, std::uint32_t& target, const char* help);
    void add(const char* name, double& target, const char* help);
    void add(const char* name, bool& target, const char* help);
    /// A whole number of milliseconds or microseconds.
    void add_ms(const char* name, duration& target, const char* help);
    void add_us(const char* name, duration& target, const char* help);
    /// A comma-separated list.
    void add(const char* name, std::vector<std::string>& target, const char* help);

    /// Parses `arguments`, which exclude the names of the program and of the subcommand. `--help` prints the
    /// options and exits.
    [[nodiscard]] status parse(const std::string& command, const std::vector<std::string>& arguments);

private:
    struct text_option {
        char* value = nullptr;
        std::string* text = nullptr;
        std::vector<std::string>* list = nullptr;
    };
    struct number_option {
        int value = 0;
        std::uint32_t* number = nullptr;
        bool* flag = nullptr;
        duration* time = nullptr;
        duration unit{1};
    };

    void add_text(const char* name, text_option option, const char* help);
    void add_number(const char* name, number_option option, int type, const char* help);
    [[nodiscard]] status store_numbers() const;
    void store_texts() const;

    // popt keeps pointers to the elements. A deque does not move its elements when it grows.
    std::deque<text_option> texts_;
    std::deque<number_option> numbers_;
    std::vector<poptOption> table_;
};

} // namespace samphiretray::standins
