#include "samphiretray/base/file_text.h"
#include "samphiretray/base/hash.h"
#include "samphiretray/base/json_fields.h"
#include "samphiretray/cli/cli.h"
#include "samphiretray/config/settings.h"

#include "configuration_store.h"
#include "operator_options.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>

namespace samphiretray::cli {

namespace {

constexpr std::size_t key_bytes = 32;
// A shorter prefix of a digest could match another key by mistake.
constexpr std::size_t min_digest_prefix_length = 8;

int fail(const error& failure) {
    std::fprintf(stderr, "samphiretray: %s\n", to_string(failure).c_str());
    return failure.code == errc::conflict ? exit_conflict : exit_failure;
}

int fail_usage(const std::string& problem) {
    std::fprintf(stderr, "samphiretray: %s; try --help\n", problem.c_str());
    return exit_usage;
}

void print(const std::string& line) {
    std::printf("%s\n", line.c_str());
}

result<std::string> read_file(const std::string& name) {
    auto text = read_text_file(name);
    if (!text) {
        return make_error(errc::not_found, step::configure, {}, "cannot read file \"" + name + "\"");
    }
    return *std::move(text);
}

/// The parsed rules and inventory files.
struct loaded_files {
    std::optional<config::rules> rules;
    std::optional<config::inventory> inventory;
};

status load_rules(const std::string& text, const std::string& name, loaded_files& target) {
    auto parsed = config::parse_rules(text, name);
    if (!parsed) {
        return parsed.error();
    }
    target.rules = *std::move(parsed);
    return success();
}

status load_inventory(const std::string& text, const std::string& name, loaded_files& target) {
    auto parsed = config::parse_inventory(text, name);
    if (!parsed) {
        return parsed.error();
    }
    target.inventory = *std::move(parsed);
    return success();
}

template <typename T>
status as_status(const result<T>& value) {
    return value ? success() : status{value.error()};
}

/// Reads and parses a file of any kind. The kind of a JSON object is detected by fields that only one kind
/// has; any other file is parsed as an inventory.
status load_file(const std::string& name, loaded_files& target) {
    const auto text = read_file(name);
    if (!text) {
        return text.error();
    }
    const auto object = json_fields::parse(*text, name, step::configure);
    const std::size_t first = text->find_first_not_of(" \t\r\n");
    if (!object && first != std::string::npos && (*text)[first] == '{') {
        return object.error();
    }
    if (!object) {
        return load_inventory(*text, name, target);
    }
    if (object->has("endpoint_address")) {
        return as_status(config::parse_agent_settings(*text, name));
    }
    if (object->has("vm")) {
        return as_status(config::parse_entry_settings(*text, name));
    }
    return load_rules(*text, name, target);
}

int run_check(const operator_options& options) {
    if (options.arguments.empty()) {
        return fail_usage("check needs at least one file");
    }
    loaded_files files;
    for (const std::string& name : options.arguments) {
        if (const auto done = load_file(name, files); !done) {
            return fail(done.error());
        }
    }
    if (files.rules) {
        const config::configuration value{*files.rules, files.inventory.value_or(config::inventory{})};
        const auto problems = config::find_validation_errors(value);
        std::ranges::for_each(
            problems, [](const std::string& problem) { std::fprintf(stderr, "%s\n", problem.c_str()); });
        if (!problems.empty()) {
            return exit_failure;
        }
    }
    print(options.json ? R"({"valid": true})" : "valid");
    return exit_ok;
}

/// Replaces the parts of `current` that were loaded. Existing keys are kept unless the rules contain keys,
/// because keys are usually granted by `key grant` and not listed in a file.
config::configuration replace_parts(config::configuration current, const loaded_files& files) {
    if (files.rules) {
        auto keys = std::move(current.rules.keys);
        current.rules = *files.rules;
        if (current.rules.keys.empty()) {
            current.rules.keys = std::move(keys);
        }
    }
    if (files.inventory) {
        current.inventory = *files.inventory;
    }
    return current;
}

int report_edit(const operator_options& options, const result<std::uint64_t>& outcome) {
    if (!outcome) {
        return fail(outcome.error());
    }
    const std::string revision = std::to_string(*outcome);
    print(options.json ? "{\"revision\": " + revision + "}" : "revision " + revision);
    return exit_ok;
}

int show_configuration(const operator_options& /*options*/, configuration_store& store) {
    const auto stored = store.read();
    if (!stored) {
        return fail(stored.error());
    }
    print("{\"revision\": " + std::to_string(stored->revision) +
          ",\n\"rules\": " + config::to_json(stored->value.rules) +
          ",\n\"inventory\": " + config::to_json(stored->value.inventory) + "}");
    return exit_ok;
}

int diff_configuration(const operator_options& options, configuration_store& store,
                       const loaded_files& files) {
    const auto stored = store.read();
    if (!stored) {
        return fail(stored.error());
    }
    const auto lines = config::describe_changes(stored->value, replace_parts(stored->value, files));
    if (options.json) {
        print(nlohmann::json(lines).dump());
    } else {
        std::ranges::for_each(lines, print);
    }
    return exit_ok;
}

int run_config(const operator_options& options, configuration_store& store) {
    const std::string action = options.arguments.empty() ? "" : options.arguments.front();
    const std::size_t files_given = options.arguments.size() - (options.arguments.empty() ? 0 : 1);
    if (action == "show" && files_given == 0) {
        return show_configuration(options, store);
    }
    const bool is_known_action = action == "import" || action == "diff" || action == "apply";
    if (!is_known_action || files_given == 0) {
        return fail_usage("expected config show, import INVENTORY, diff FILE... or apply FILE...");
    }
    loaded_files files;
    for (std::size_t i = 1; i < options.arguments.size(); ++i) {
        if (const auto done = load_file(options.arguments[i], files); !done) {
            return fail(done.error());
        }
    }
    if (action == "import" && (files.rules || !files.inventory)) {
        return fail_usage("config import takes an inventory");
    }
    if (action == "diff") {
        return diff_configuration(options, store, files);
    }
    return report_edit(options,
                       store.edit([&files](config::configuration current) -> result<config::configuration> {
                           return replace_parts(std::move(current), files);
                       }));
}

int grant_key(const operator_options& options, configuration_store& store) {
    const std::string key = random_hex(key_bytes);
    const config::key_grant grant{sha256_hex(key), options.arguments[1],
                                  options.arguments.size() > 2 ? options.arguments[2] : ""};
    const auto outcome = store.edit([&grant](config::configuration current) -> result<config::configuration> {
        current.rules.keys.push_back(grant);
        return current;
    });
    if (!outcome) {
        return fail(outcome.error());
    }
    const nlohmann::ordered_json shown{{"key", key}, {"digest", grant.digest}, {"revision", *outcome}};
    print(options.json ? shown.dump()
                       : "key " + key + "\ndigest " + grant.digest + "\nrevision " +
                             std::to_string(*outcome) + "\nThe key is shown only now.");
    return exit_ok;
}

int withdraw_key(const operator_options& options, configuration_store& store) {
    const std::string& digest = options.arguments[1];
    if (digest.size() < min_digest_prefix_length) {
        return fail_usage("DIGEST must be at least 8 digits of a key's digest");
    }
    return report_edit(
        options, store.edit([&digest](config::configuration current) -> result<config::configuration> {
            auto& keys = current.rules.keys;
            const auto has_digest_prefix = [&digest](const config::key_grant& key) {
                return key.digest.starts_with(digest);
            };
            const auto matches = std::ranges::count_if(keys, has_digest_prefix);
            if (matches != 1) {
                return make_error(errc::not_found, step::configure, {},
                                  std::to_string(matches) + " keys have a digest that starts with " + digest);
            }
            std::erase_if(keys, has_digest_prefix);
            return current;
        }));
}

int list_keys(const operator_options& options, configuration_store& store) {
    const auto stored = store.read();
    if (!stored) {
        return fail(stored.error());
    }
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const config::key_grant& key : stored->value.rules.keys) {
        list.push_back({{"digest", key.digest}, {"organisation", key.organisation}, {"label", key.label}});
        if (!options.json) {
            print(key.digest + " " + key.organisation + " " + key.label);
        }
    }
    if (options.json) {
        print(list.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
    }
    return exit_ok;
}

int run_key(const operator_options& options, configuration_store& store) {
    const std::string action = options.arguments.empty() ? "" : options.arguments.front();
    if (action == "list" && options.arguments.size() == 1) {
        return list_keys(options, store);
    }
    if (action == "grant" && (options.arguments.size() == 2 || options.arguments.size() == 3)) {
        return grant_key(options, store);
    }
    if (action == "withdraw" && options.arguments.size() == 2) {
        return withdraw_key(options, store);
    }
    return fail_usage("expected key grant ORGANISATION [LABEL], key withdraw DIGEST or key list");
}

} // namespace

int run_cli(int argc, const char** argv) {
    const std::string command = argc > 0 ? argv[0] : "";
    const auto options = parse_operator_options(argc, argv);
    if (!options) {
        return fail_usage(options.error().detail);
    }
    if (command == "check") {
        return run_check(*options);
    }
    if (command != "config" && command != "key") {
        return fail_usage("unknown command \"" + command + "\"");
    }
    if (!options->key_value_service) {
        return fail_usage("--kv IP:PORT is needed");
    }
    configuration_store store{*options->key_value_service};
    return command == "config" ? run_config(*options, store) : run_key(*options, store);
}

} // namespace samphiretray::cli
