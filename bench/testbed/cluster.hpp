#pragma once

#include "endivelever/config/preset.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/config/vm_list.hpp"
#include "endivelever/net/http_client.hpp"
#include "testbed/forwarder.hpp"
#include "testbed/load.hpp"
#include "testbed/process.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endivelever::testbed {

/// What to start: an example deployment at a reduced number of entry VMs.
struct cluster_options {
    std::string program_folder; ///< ENDIVELEVER_BIN_DIR
    std::string example_folder; ///< holds settings.json, vm-list.json and preset-<name>.json
    std::size_t entry_vms = 4;
    std::string first_preset = "ordinary";
    std::string behaviour = "{}"; ///< JSON keys of apply_json() for every server
    std::uint64_t seed = 1;
    bool with_forwarders = false;                 ///< see cluster::feed_link() and cluster::platform_link()
    std::function<void(settings&)> adjust;        ///< changes the settings of every VM
    std::function<void(vm_list&)> adjust_vm_list; ///< changes the servers before they start
};

/// One entry VM with its two processes.
struct cluster_vm {
    settings config;
    std::string settings_file;
    process entry;
    process control;
};

/// Fake platform, fake servers, and entry and control processes on loopback ports. The destructor kills all.
class cluster {
  public:
    /// Starts everything, puts the first preset in force and waits until every entry serves under it.
    /// @return the cluster, or error [testbed.N] or [config.N]
    static result<std::unique_ptr<cluster>> start(const cluster_options& options);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;
    cluster(cluster&&) = delete;
    cluster& operator=(cluster&&) = delete;

    [[nodiscard]] std::size_t size() const { return m_vms.size(); }
    cluster_vm& vm(std::size_t index) { return m_vms[index]; }
    process& platform() { return m_platform; }
    process& servers() { return m_servers; }
    [[nodiscard]] const socket_address& platform_address() const { return m_platform_port.address(); }
    [[nodiscard]] const socket_address& servers_control() const { return m_servers_control; }
    [[nodiscard]] const temporary_folder& folder() const { return m_folder; }
    /// Forwarder in front of a control's feed address, as the VM list names it. Needs `with_forwarders`.
    forwarder& feed_link(std::size_t index) { return *m_feed_links[index]; }
    /// Forwarder between a control and the platform. Needs `with_forwarders`.
    forwarder& platform_link(std::size_t index) { return *m_platform_links[index]; }

    result<void> start_entry(std::size_t index);
    result<void> start_control(std::size_t index);
    result<void> start_platform();

    /// Sends a request to a control's operator address with the first operator's key.
    http_reply operate(std::size_t index, const std::string& method, const std::string& target,
                       const std::string& body = {});
    /// Stores a preset of the example folder under its name. @return error [testbed.N] if refused
    result<void> create_preset(std::size_t index, const std::string& name);
    /// Puts a stored preset in force. @return the reply of the control
    http_reply switch_preset(std::size_t index, const std::string& name, std::uint64_t expect_version,
                             const std::string& operation);
    /// @return preset version that an entry names in its address answer, 0 if it does not serve
    std::uint64_t applied_version(std::size_t index);
    /// @return number of addresses in an entry's address answer, 0 if it does not serve
    std::size_t named_addresses(std::size_t index);
    /// Sends one idempotent call straight to an entry, which also needs a lease to serve it.
    bool serves(std::size_t index);
    /// Waits until all entries apply at least this version.
    bool wait_applied(std::uint64_t version, duration limit);

    /// Publishes the VM list to the platform. `change` may mark VMs as leaving or remove them.
    result<void> publish_vms(const std::function<void(vm_list&)>& change, duration lag = duration::zero());
    /// Changes one server, see fake_servers.
    result<void> change_server(const server_id& id, const std::string& body);
    /// Injects a platform fault (section 7.3 of the design).
    result<void> set_fault(const std::string& rule);
    [[nodiscard]] const vm_list& vms() const { return m_vm_list; }
    /// @return runs by call id
    std::map<std::string, std::uint32_t> ledger();

    /// Options for callers of all entries, with one load_kind per kind of the settings and rate 0.
    [[nodiscard]] load_options caller_options() const;
    /// Starts the load generator as a process.
    result<process> start_load(const load_options& options);

  private:
    explicit cluster(const cluster_options& options);
    result<void> load_example();
    result<void> start_servers();
    result<void> add_vm(const settings& example, const listed_entry& listed);
    result<void> start_vms();
    result<void> put_first_preset_in_force();

    cluster_options m_options;
    temporary_folder m_folder;
    std::vector<reserved_port> m_ports;
    reserved_port m_platform_port;
    socket_address m_servers_control;
    settings m_example;
    vm_list m_vm_list;
    std::vector<std::unique_ptr<forwarder>> m_feed_links;
    std::vector<std::unique_ptr<forwarder>> m_platform_links;
    process m_platform;
    process m_servers;
    std::vector<cluster_vm> m_vms;
};

} // namespace endivelever::testbed
