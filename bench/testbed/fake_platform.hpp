#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/config/settings.hpp"
#include "testbed/fake_store.hpp"

#include <cstdint>
#include <memory>
#include <string>

struct ev_loop;

namespace endivelever::testbed {

/// Requests received by kind, faults included.
struct platform_counts {
    std::uint64_t get = 0;
    std::uint64_t watch = 0;
    std::uint64_t put = 0;
    std::uint64_t list = 0;
    std::uint64_t vms = 0;
    std::uint64_t vms_watch = 0;
};

/// Object store and VM list with fault injection (section 7.3 of the design).
class fake_platform {
  public:
    /// @return the platform, or error [net.N] if the address cannot be bound
    static result<std::unique_ptr<fake_platform>> open(struct ev_loop* loop, const socket_address& address);
    ~fake_platform();
    fake_platform(const fake_platform&) = delete;
    fake_platform& operator=(const fake_platform&) = delete;
    fake_platform(fake_platform&&) = delete;
    fake_platform& operator=(fake_platform&&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] const fake_store& store() const;
    [[nodiscard]] const platform_counts& counts() const;

    /// Stores an object whatever its present version, and wakes its watches.
    document_version set_object(const std::string& key, std::string payload);
    /// Replaces the VM list (the JSON body of GET /v1/vms) after `lag`.
    void set_vms(std::string text, duration lag = duration::zero());
    /// Same rules as POST /v1/fake/faults.
    void apply_fault(const fault_rule& rule);

  private:
    struct state;
    explicit fake_platform(std::unique_ptr<state> it);
    std::unique_ptr<state> m_state;
};

} // namespace endivelever::testbed
