#include "endivelever/gateway/controllers.hpp"

namespace endivelever {

void apply_directives(gateway_board& board, server_view& view, const response_metadata& facts,
                      std::string_view source) {
    if (facts.invalid_directive) {
        count(board, "server_directives_invalid_total");
    }
    if (view.directives.fleet_limit == facts.directives.fleet_limit) {
        return;
    }
    view.directives = facts.directives;
    write_event(board.log, "server_limit",
                {{"server", view.listed.id.text},
                 {"limited", facts.directives.fleet_limit.has_value()},
                 {"requests_per_second", facts.directives.fleet_limit.value_or(0.0)},
                 {"source", source}});
}

} // namespace endivelever
