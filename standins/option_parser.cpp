#include "standins/option_parser.h"

#include <cstdlib>
#include <memory>
#include <sstream>

namespace samphiretray::standins {

namespace {

poptOption make_option(const char* name, int type, void* target, const char* help) {
    return {name, '\0', static_cast<unsigned int>(type), target, 0, help, nullptr};
}

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream stream{text};
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

status option_error(const std::string& detail) {
    return make_error(errc::invalid_argument, step::settings, "", detail);
}

} // namespace

void option_parser::add(const char* name, std::string& target, const char* help) {
    add_text(name, {nullptr, &target, nullptr}, help);
}

void option_parser::add(const char* name, std::vector<std::string>& target, const char* help) {
    add_text(name, {nullptr, nullptr, &target}, help);
}

void option_parser::add(const char* name, double& target, const char* help) {
    table_.push_back(make_option(name, POPT_ARG_DOUBLE, &target, help));
}

void option_parser::add(const char* name, std::uint32_t& target, const char* help) {
    add_number(name, {static_cast<int>(target), &target, nullptr, nullptr}, POPT_ARG_INT, help);
}

void option_parser::add(const char* name, bool& target, const char* help) {
    add_number(name, {target ? 1 : 0, nullptr, &target, nullptr}, POPT_ARG_NONE, help);
}

void option_parser::add_ms(const char* name, duration& target, const char* help) {
    add_number(name, {static_cast<int>(milliseconds_in(target)), nullptr, nullptr, &target, 1ms},
               POPT_ARG_INT, help);
}

void option_parser::add_us(const char* name, duration& target, const char* help) {
    add_number(name, {static_cast<int>(target.count()), nullptr, nullptr, &target, 1us}, POPT_ARG_INT, help);
}

status option_parser::parse(const std::string& command, const std::vector<std::string>& arguments) {
    table_.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr});
    table_.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
    const std::string program = "samphiretray-standins " + command;
    std::vector<const char*> words{program.c_str()};
    for (const std::string& argument : arguments) {
        words.push_back(argument.c_str());
    }
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context{
        poptGetContext(nullptr, static_cast<int>(words.size()), words.data(), table_.data(), 0),
        &poptFreeContext};
    const int code = poptGetNextOpt(context.get());
    if (code < -1) {
        return option_error(std::string{poptBadOption(context.get(), 0)} + ": " + poptStrerror(code));
    }
    if (const char* rest = poptGetArg(context.get())) {
        return option_error("unexpected argument " + std::string{rest});
    }
    store_texts();
    return store_numbers();
}

void option_parser::add_text(const char* name, text_option option, const char* help) {
    texts_.push_back(option);
    table_.push_back(make_option(name, POPT_ARG_STRING, &texts_.back().value, help));
}

void option_parser::add_number(const char* name, number_option option, int type, const char* help) {
    numbers_.push_back(option);
    table_.push_back(make_option(name, type, &numbers_.back().value, help));
}

status option_parser::store_numbers() const {
    for (const number_option& option : numbers_) {
        if (option.value < 0) {
            return option_error("numbers must not be negative");
        }
        if (option.number != nullptr) {
            *option.number = static_cast<std::uint32_t>(option.value);
        }
        if (option.flag != nullptr) {
            *option.flag = option.value != 0;
        }
        if (option.time != nullptr) {
            *option.time = option.value * option.unit;
        }
    }
    return success();
}

void option_parser::store_texts() const {
    for (const text_option& option : texts_) {
        if (option.value == nullptr) {
            continue;
        }
        const std::unique_ptr<char, decltype(&std::free)> held{option.value, &std::free};
        if (option.text != nullptr) {
            *option.text = held.get();
        }
        if (option.list != nullptr) {
            *option.list = split(held.get());
        }
    }
}

} // namespace samphiretray::standins
