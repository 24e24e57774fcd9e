#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"

#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace endivelever::testbed {

struct process_spec {
    std::string program; ///< path
    std::vector<std::string> arguments;
    std::string log_file; ///< receives standard error, appended
};

/// A program that was started here. The destructor kills it. The kernel kills it when the thread that
/// started it ends, so a test that crashes leaves nothing behind.
class process {
  public:
    /// No process.
    process() = default;
    /// @return the process, or error [testbed.N] if it cannot be started
    static result<process> start(const process_spec& spec);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    [[nodiscard]] pid_t pid() const { return m_pid; }
    /// SIGTERM
    void stop() const;
    /// SIGKILL, and waits for the end
    void kill();
    /// SIGSTOP
    void pause() const;
    /// SIGCONT
    void resume() const;
    [[nodiscard]] bool running();
    /// Waits for the end. @return true if the process ended within the limit
    bool wait(duration limit);
    /// @return exit status, or -1 while it runs or after a signal
    [[nodiscard]] int exit_status() const { return m_exit_status; }
    /// Reads a line of standard output. @return the line, or error [testbed.N] at the limit or end of output
    result<std::string> read_line(duration limit);

  private:
    process(pid_t pid, int output);
    void release();

    pid_t m_pid = -1;
    int m_output = -1;
    bool m_ended = false;
    int m_exit_status = -1;
    std::string m_buffer;
};

/// Reads the port from the line "listening 127.0.0.1:PORT".
/// @return the address, or error [testbed.N]
result<std::string> read_listening_address(process& program);

/// Waits until the condition holds, and checks it every few milliseconds. @return false at the limit
bool wait_until(const std::function<bool()>& condition, duration limit);

/// Folder below the system's temporary folder; removed by the destructor.
class temporary_folder {
  public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    temporary_folder(temporary_folder&&) = delete;
    temporary_folder& operator=(temporary_folder&&) = delete;

    [[nodiscard]] std::string path(const std::string& name) const { return m_path + "/" + name; }
    /// Writes a file and returns its path.
    [[nodiscard]] std::string write(const std::string& name, const std::string& text) const;

  private:
    std::string m_path;
};

} // namespace endivelever::testbed
