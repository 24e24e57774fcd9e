#include "testbed/process.hpp"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace endivelever::testbed {
namespace detail {

constexpr auto poll_interval = std::chrono::milliseconds(5);
constexpr auto start_limit = std::chrono::seconds(30);

[[noreturn]] void run_program(const process_spec& spec, char** arguments, int output) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    const int log = open(spec.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log >= 0) {
        dup2(log, STDERR_FILENO);
    }
    execv(spec.program.c_str(), arguments);
    _exit(127);
}

std::vector<char*> argument_pointers(std::vector<std::string>& words) {
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (auto& it : words) {
        pointers.push_back(it.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace detail

result<process> process::start(const process_spec& spec) {
    std::array<int, 2> pipe_fds{};
    if (pipe2(pipe_fds.data(), O_CLOEXEC) != 0) {
        return fail("testbed", 1, std::string("no pipe: ") + std::strerror(errno));
    }
    std::vector<std::string> words{spec.program};
    words.insert(words.end(), spec.arguments.begin(), spec.arguments.end());
    auto pointers = detail::argument_pointers(words);
    const pid_t pid = fork();
    if (pid == 0) {
        detail::run_program(spec, pointers.data(), pipe_fds[1]);
    }
    close(pipe_fds[1]);
    if (pid < 0) {
        close(pipe_fds[0]);
        return fail("testbed", 2, "cannot start " + spec.program);
    }
    return process(pid, pipe_fds[0]);
}

process::process(pid_t pid, int output) : m_pid(pid), m_output(output) {}

process::process(process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1)), m_output(std::exchange(other.m_output, -1)),
      m_ended(other.m_ended), m_exit_status(other.m_exit_status), m_buffer(std::move(other.m_buffer)) {}

process& process::operator=(process&& other) noexcept {
    if (this != &other) {
        release();
        m_pid = std::exchange(other.m_pid, -1);
        m_output = std::exchange(other.m_output, -1);
        m_ended = other.m_ended;
        m_exit_status = other.m_exit_status;
        m_buffer = std::move(other.m_buffer);
    }
    return *this;
}

process::~process() {
    release();
}

void process::release() {
    kill();
    if (m_output >= 0) {
        close(m_output);
        m_output = -1;
    }
}

void process::stop() const {
    if (m_pid > 0 && !m_ended) {
        ::kill(m_pid, SIGTERM);
    }
}

void process::pause() const {
    if (m_pid > 0 && !m_ended) {
        ::kill(m_pid, SIGSTOP);
    }
}

void process::resume() const {
    if (m_pid > 0 && !m_ended) {
        ::kill(m_pid, SIGCONT);
    }
}

void process::kill() {
    if (m_pid > 0 && !m_ended) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_ended = true;
    }
}

bool process::running() {
    if (m_pid <= 0 || m_ended) {
        return false;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_ended = true;
        m_exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    return !m_ended;
}

bool process::wait(duration limit) {
    return wait_until([this] { return !running(); }, limit);
}

result<std::string> process::read_line(duration limit) {
    const auto until = boot_clock::now() + limit;
    for (;;) {
        const auto end = m_buffer.find('\n');
        if (end != std::string::npos) {
            auto line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 1);
            return line;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - boot_clock::now());
        pollfd wanted{m_output, POLLIN, 0};
        if (left.count() <= 0 || poll(&wanted, 1, static_cast<int>(left.count())) <= 0) {
            return fail("testbed", 3, "no line of output within the limit");
        }
        std::array<char, 4096> buf{};
        const auto n = read(m_output, buf.data(), buf.size());
        if (n <= 0) {
            return fail("testbed", 4, "the program ended without a line of output");
        }
        m_buffer.append(buf.data(), static_cast<std::size_t>(n));
    }
}

result<std::string> read_listening_address(process& program) {
    auto line = program.read_line(detail::start_limit);
    if (!line) {
        return line;
    }
    const std::string prefix = "listening ";
    if (!line->starts_with(prefix)) {
        return fail("testbed", 5, "unexpected first line \"" + *line + "\"");
    }
    return line->substr(prefix.size());
}

bool wait_until(const std::function<bool()>& condition, duration limit) {
    const auto until = boot_clock::now() + limit;
    while (!condition()) {
        if (boot_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(detail::poll_interval);
    }
    return true;
}

temporary_folder::temporary_folder() {
    auto pattern = (std::filesystem::temp_directory_path() / "endivelever-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    m_path = pattern;
}

temporary_folder::~temporary_folder() {
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

std::string temporary_folder::write(const std::string& name, const std::string& text) const {
    auto target = path(name);
    std::ofstream(target) << text;
    return target;
}

} // namespace endivelever::testbed
