#include <Processes/Process.h>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <ratio>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace Processes {

namespace {

// Far longer than any step takes, so that only a hang reaches it.
constexpr int OutputTimeoutMs = 60'000;

} // namespace

Process::Process(const std::string &program, const std::vector<std::string> &arguments)
{
    std::array<int, 2> ends {};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    m_output = ends[0];
    start(program, arguments, ends[1]);
}

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &outputPath)
{
    const int output =
        ::open(outputPath.c_str(), O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (output < 0)
        throw std::runtime_error("cannot open " + outputPath);
    start(program, arguments, output);
}

void Process::start(const std::string &program, const std::vector<std::string> &arguments,
                    int output)
{
    const auto path = program.starts_with('/') ? program : std::string(JUJUBE_BIN) + '/' + program;
    std::vector<char *> words {const_cast<char *>(path.c_str())};
    for (const auto &argument : arguments)
        words.push_back(const_cast<char *>(argument.c_str()));
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
    // A port of the test would stay open as long as the process.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int fault = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(output);
    if (fault != 0)
        throw std::runtime_error("cannot start " + path);
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_output(std::exchange(other.m_output, -1))
    , m_pending(std::move(other.m_pending))
{ }

Process::~Process()
{
    kill();
    closeOutput();
}

void Process::closeOutput()
{
    if (m_output >= 0)
        ::close(std::exchange(m_output, -1));
}

bool Process::handles(int number) const
{
    constexpr std::string_view Field = "SigCgt:";
    constexpr int Hexadecimal = 16;
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(Field)) {
            const auto caught = std::stoull(line.substr(Field.size()), nullptr, Hexadecimal);
            return ((caught >> static_cast<unsigned>(number - 1)) & 1U) != 0;
        }
    }
    return false;
}

bool Process::hasEnded() const
{
    siginfo_t info {};
    return ::waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOHANG | WNOWAIT) != 0
           || info.si_pid != 0;
}

bool Process::readMore()
{
    if (m_output < 0)
        return false;
    pollfd waiting {m_output, POLLIN, 0};
    if (::poll(&waiting, 1, OutputTimeoutMs) <= 0)
        throw std::runtime_error("the program is silent; last output: " + m_pending);
    std::array<char, 4096> buf {};
    const auto n = ::read(m_output, buf.data(), buf.size());
    if (n <= 0)
        return false;
    m_pending.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

std::string Process::awaitLine(const std::string &text)
{
    while (true) {
        const auto end = m_pending.find('\n');
        if (end == std::string::npos) {
            if (!readMore())
                throw std::runtime_error("the program ended; last output: " + m_pending);
            continue;
        }
        auto line = m_pending.substr(0, end);
        m_pending.erase(0, end + 1);
        if (line.find(text) != std::string::npos)
            return line;
    }
}

Http::Endpoint Process::awaitEndpoint(const std::string &text)
{
    const auto line = awaitLine(text);
    const auto start = line.find("127.0.0.1:");
    const auto end = line.find_first_not_of("0123456789.:", start);
    return Http::parseEndpoint(line.substr(start, end - start)).value();
}

std::size_t Process::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::chrono::milliseconds Process::processorTime() const
{
    constexpr int FieldsBefore = 11;
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
    std::string line;
    std::getline(file, line);
    // The name of the program, in parentheses, may contain spaces.
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int n = 0; n < FieldsBefore; ++n)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return std::chrono::milliseconds((user + system) * std::milli::den / sysconf(_SC_CLK_TCK));
}

void Process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Process::kill()
{
    if (m_pid <= 0)
        return;
    signal(SIGKILL);
    signal(SIGCONT);
    int status = 0;
    ::waitpid(std::exchange(m_pid, -1), &status, 0);
}

std::optional<int> Process::takeEnd()
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return std::nullopt;
    m_pid = -1;
    return status;
}

int Process::wait()
{
    while (readMore()) { }
    int status = 0;
    ::waitpid(std::exchange(m_pid, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace Processes
