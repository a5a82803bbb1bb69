#pragma once

#include <LibHttp/Endpoint.h>

#include <sys/types.h>

#include <string>
#include <vector>

namespace Processes {

/// One program that a test started. Killed, if it still runs, when the object ends.
class Process
{
public:
    /// Starts a program of this build with its output in a pipe.
    Process(const std::string &program, const std::vector<std::string> &arguments);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&) = delete;

    /// Reads output until a line holds the text, and returns that line. Throws when the program
    /// ends first or is silent for too long.
    std::string awaitLine(const std::string &text);
    /// The address behind "listening on", or in the daemon's event for that port.
    Http::Endpoint awaitEndpoint(const std::string &text);

    void signal(int number) const;
    /// Kills the program at once and waits for its end.
    void kill();
    /// Waits for the program's end and returns its exit code, or -1 when a signal ended it. Goes
    /// on reading its output.
    int wait();
    bool isRunning() const { return m_pid > 0; }

private:
    bool readMore();

    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_pending;
};

} // namespace Processes
