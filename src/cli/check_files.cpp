#include "endivelever/cli/run_command.hpp"
#include "endivelever/config/check_preset.hpp"
#include "endivelever/config/vm_list.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace endivelever {
namespace {

using nlohmann::json;

/// One file and what is known of it.
struct checked_file {
    std::string path;
    std::string text;
    std::string summary; ///< what it holds
    std::string fault;   ///< empty if it is good
    std::optional<settings> as_settings;
    std::optional<preset> as_preset;
};

enum class content { settings, preset, vm_list };

/// The mandatory key "vms" marks a VM list, "vm" settings; anything else is taken for a preset.
content content_of(const std::string& text) {
    const auto value = json::parse(text, nullptr, false, true);
    if (value.is_object() && value.contains("vms")) {
        return content::vm_list;
    }
    const bool rules = value.is_object() && value.contains("name") && !value.contains("vm");
    return rules ? content::preset : content::settings;
}

void parse_as_settings(checked_file& file) {
    auto parsed = parse_settings(file.text, file.path);
    if (!parsed) {
        file.fault = parsed.error().message;
        return;
    }
    file.summary = "settings of " + parsed->vm.text;
    file.as_settings = std::move(*parsed);
}

void parse_as_preset(checked_file& file) {
    auto parsed = parse_preset(file.text, file.path);
    if (!parsed) {
        file.fault = parsed.error().message;
        return;
    }
    file.summary = "preset " + parsed->name.text;
    file.as_preset = std::move(*parsed);
}

void parse_as_vm_list(checked_file& file) {
    const auto parsed = parse_vm_list(file.text);
    if (!parsed) {
        file.fault = file.path + ": " + parsed.error().message;
        return;
    }
    file.summary = "VM list with " + std::to_string(parsed->entries.size()) + " entry VMs and " +
                   std::to_string(parsed->servers.size()) + " servers";
}

checked_file check_file(const std::string& path) {
    checked_file file{path, {}, {}, {}, {}, {}};
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in || !text) {
        file.fault = make_error("cli", 3, path + ": file cannot be read").message;
        return file;
    }
    file.text = text.str();
    switch (content_of(file.text)) {
    case content::settings:
        parse_as_settings(file);
        break;
    case content::preset:
        parse_as_preset(file);
        break;
    case content::vm_list:
        parse_as_vm_list(file);
        break;
    }
    return file;
}

/// Checks each preset against each settings file.
void check_together(std::vector<checked_file>& files) {
    for (auto& rules : files) {
        for (const auto& against : files) {
            if (!rules.as_preset || !against.as_settings || !rules.fault.empty()) {
                continue;
            }
            if (const auto fits = check_preset(*rules.as_preset, *against.as_settings, rules.path); !fits) {
                rules.fault = fits.error().message + " (settings " + against.path + ")";
            }
        }
    }
}

} // namespace

exit_code check_files(const cli_options& options, std::ostream& out, std::ostream& err) {
    std::vector<checked_file> files;
    for (const auto& it : options.files) {
        files.push_back(check_file(it));
    }
    check_together(files);
    auto code = exit_code::done;
    auto report = json::array();
    for (const auto& it : files) {
        code = it.fault.empty() ? code : exit_code::invalid;
        report.push_back(
            {{"file", it.path}, {"good", it.fault.empty()}, {"content", it.summary}, {"error", it.fault}});
        if (!options.json) {
            (it.fault.empty() ? out : err)
                << (it.fault.empty() ? it.path + ": good, " + it.summary : it.fault) << '\n';
        }
    }
    if (options.json) {
        out << report.dump() << '\n';
    }
    return code;
}

} // namespace endivelever
