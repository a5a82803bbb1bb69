#pragma once

#include <LibHttp/Endpoint.h>

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Processes {

/// A program that a test started. The destructor kills it if it is still running.
class Process
{
public:
    /// Starts a program of this build, or one given by its absolute path, with its output in a
    /// pipe.
    Process(const std::string &program, const std::vector<std::string> &arguments);
    /// Starts a program whose output is appended to a file.
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &outputPath);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&) = delete;

    /// Reads output until a line contains the text, and returns that line. Throws if the program
    /// exits first or prints nothing until the timeout.
    std::string awaitLine(const std::string &text);
    /// Returns the address after "listening on", or the one in the daemon's event for that port.
    Http::Endpoint awaitEndpoint(const std::string &text);

    void signal(int number) const;
    /// Closes the reading end of the program's output.
    void closeOutput();
    /// Whether the program handles the signal; false until it has registered its handler.
    bool handles(int number) const;
    /// Whether the program has ended, without waiting for it.
    bool hasEnded() const;
    /// Kills the program immediately and waits until it has exited.
    void kill();
    /// Waits until the program exits and returns its exit code, or -1 if a signal terminated it.
    /// Keeps reading its output meanwhile.
    int wait();
    /// Returns the status of waitpid() if the program has ended, without waiting.
    std::optional<int> takeEnd();
    /// Returns the memory that the program occupies.
    std::size_t residentBytes() const;
    /// Returns the processor time that the program has used.
    std::chrono::milliseconds processorTime() const;
    bool isRunning() const { return m_pid > 0; }
    pid_t pid() const { return m_pid; }

private:
    void start(const std::string &program, const std::vector<std::string> &arguments, int output);
    bool readMore();

    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_pending;
};

} // namespace Processes
