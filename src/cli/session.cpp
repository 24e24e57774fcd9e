#include "session.hpp"

#include "endivelever/cli/text_output.hpp"

namespace endivelever::detail {

using nlohmann::json;

std::unique_ptr<operator_client> open_client(const cli_options& options, std::ostream& err) {
    const auto key = read_key_file(options.key_file);
    if (!key) {
        err << key.error().message << '\n';
        return nullptr;
    }
    return std::make_unique<operator_client>(options.operator_address, *key);
}

json body_of(const http_reply& reply) {
    return json::parse(reply.body, nullptr, false);
}

std::string failure_text(const http_reply& reply, const cli_options& options) {
    if (reply.result.failure != transfer_failure::none) {
        const auto* what = reply.result.sent ? ": no complete response: " : ": not reachable: ";
        return options.operator_address.text + what + reply.result.detail;
    }
    const auto body = body_of(reply);
    if (body.is_object() && body.contains("error")) {
        return cell_text(body, "error");
    }
    return options.operator_address.text + ": HTTP status " + std::to_string(reply.result.status);
}

json read_resource(operator_client& client, const cli_options& options, const std::string& target,
                   std::ostream& err, exit_code& code) {
    json none = json::parse("", nullptr, false);
    const auto reply = client.call("GET", target);
    code = exit_code_of(reply, false);
    if (code != exit_code::done) {
        err << failure_text(reply, options) << '\n';
        return none;
    }
    auto body = body_of(reply);
    if (!body.is_object()) {
        err << options.operator_address.text
            << ": the response is not a JSON object; is this an operator address?\n";
        code = exit_code::unreachable;
        return none;
    }
    return body;
}

std::string in_force_text(const json& record) {
    if (!record.is_object()) {
        return "none";
    }
    auto text = cell_text(record, "name") + ", version " + cell_text(record, "version") + ", by " +
                cell_text(record, "who");
    if (record.contains("when_us") && record["when_us"].is_number_integer()) {
        text += " at " + time_text(record["when_us"].get<std::int64_t>());
    }
    return text;
}

} // namespace endivelever::detail
