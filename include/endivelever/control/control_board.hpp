#pragma once

#include "endivelever/base/counters.hpp"
#include "endivelever/base/random.hpp"
#include "endivelever/config/drains.hpp"
#include "endivelever/config/in_force.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/config/vm_list.hpp"
#include "endivelever/decide/currency.hpp"
#include "endivelever/decide/document_table.hpp"
#include "endivelever/decide/membership.hpp"
#include "endivelever/net/frame_link.hpp"
#include "endivelever/store/store_client.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct ev_loop;

namespace endivelever {

/// One change or refusal, as /v1/audit shows it.
struct audit_record {
    std::int64_t when_us = 0;
    operator_name who; ///< empty if the key was not known
    std::string what;
    std::string outcome;
};
constexpr std::size_t max_audit_records = 256;

/// One link to another control or to an entry.
struct connection {
    std::unique_ptr<frame_link> link;
    socket_address dialed;                          ///< empty if the other side connected
    std::optional<hello_message> peer;              ///< empty until its hello arrived
    std::optional<entry_report_message> report;     ///< last report of an entry
    std::map<document_key, document_version> known; ///< versions that the other side is known to have
    bool closed = false;                            ///< removed at the next turn of the links
};

/// When an address is dialled again.
struct dial_state {
    time_point next{};
    back_off delay;
};

/// State of the watch or poll of one document.
struct watched_document {
    document_key key;
    duration wait{}; ///< longest wait of one watch call
    bool in_flight = false;
    time_point next{};
    back_off delay;
};

/// State of one control process.
struct control_board {
    settings config;
    membership members;
    document_table documents;
    preset_lease_state currency;
    std::optional<in_force_record> in_force; ///< empty if there is none or the document is not readable
    vm_list listed;
    std::vector<vm_id> listed_live; ///< entry VMs of the last VM list that are not leaving
    drain_list drains;
    std::deque<audit_record> audit;        ///< newest first, at most max_audit_records
    std::deque<audit_record> unknown_keys; ///< refused requests without a known key, as `audit`
    counter_table counters;
    link_counts links;
    random_source random;
    std::vector<std::unique_ptr<connection>> connections;
    std::map<socket_address, dial_state> dials;
    std::vector<watched_document> watched;
    bool definitions_in_flight = false;
    time_point next_definitions{};
    bool watcher = false;
    bool stopping = false;
    std::uint32_t changes_in_progress = 0;
    time_point last_turn{}; ///< last time the loop was seen to run
    std::string last_table; ///< members of the last member table sent, to see changes
};

/// The blackboard with the adapters that controllers use.
struct control {
    control_board board;
    struct ev_loop* loop = nullptr;
    std::unique_ptr<store_client> store;
};

} // namespace endivelever
