#pragma once

#include "Http.h"

#include <boost/json.hpp>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace Review {

/// Writes what happened to record.txt, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    { }
    void line(const std::string &text)
    {
        const std::scoped_lock lock(m_mutex);
        m_file << elapsed().count() << " ms  " << text << std::endl;
    }
    Milliseconds elapsed() const
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

/// The platform's store: logs with one partition each, as PROTOCOL.md describes them.
class Store
{
public:
    Store()
        : m_server([this](int fd, const Message &request) { return answer(fd, request); })
    { }
    std::uint16_t port() const { return m_server.port(); }

    /// Writes a record as operators and workers do; without a value the key is deleted. Returns
    /// when the store has accepted it.
    void put(const std::string &topic, const std::string &key,
             const std::optional<std::string> &value)
    {
        const std::scoped_lock lock(m_mutex);
        auto &log = m_topics[topic];
        log.records.push_back(std::string(1, static_cast<char>(key.size())) + key
                              + value.value_or(""));
        if (value)
            log.newest[key] = {*value, log.end() - 1};
        else
            log.newest.erase(key);
        m_changed.notify_all();
    }
    /// Forgets the records of a log that were written so far.
    std::size_t dropHistory(const std::string &topic)
    {
        const std::scoped_lock lock(m_mutex);
        auto &log = m_topics[topic];
        const auto dropped = log.records.size();
        log.first = log.end();
        log.records.clear();
        return dropped;
    }
    /// Called with each append, under the lock, with the offset of its first record.
    std::function<void(const std::string &topic, std::uint64_t offset, const std::string &record)>
        onAppend;
    /// Called with each read before it is answered, with the status of the answer.
    std::function<void(const std::string &topic, std::uint64_t from, int status)> onRead;

private:
    struct Log
    {
        std::uint64_t first = 0;
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
        std::uint64_t end() const { return first + records.size(); }
    };

    static std::map<std::string, std::string> query(const std::string &target)
    {
        std::map<std::string, std::string> result;
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto next = target.find('&', at + 1);
            const auto pair = target.substr(at + 1, next == std::string::npos ? std::string::npos
                                                                              : next - at - 1);
            result[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
            at = next;
        }
        return result;
    }
    template <typename Number>
    static std::string bigEndian(Number number)
    {
        std::string bytes;
        for (std::size_t n = sizeof(number); n-- > 0;)
            bytes += static_cast<char>(number >> (8 * n));
        return bytes;
    }
    static std::string base64(const std::string &bytes)
    {
        static constexpr char Digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t n = 0; n < bytes.size(); n += 3) {
            const auto byte = [&](std::size_t at) -> unsigned {
                return at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U;
            };
            const unsigned group = byte(n) << 16U | byte(n + 1) << 8U | byte(n + 2);
            text += Digits[group >> 18U & 63U];
            text += Digits[group >> 12U & 63U];
            text += n + 1 < bytes.size() ? Digits[group >> 6U & 63U] : '=';
            text += n + 2 < bytes.size() ? Digits[group & 63U] : '=';
        }
        return text;
    }

    bool answer(int fd, const Message &request)
    {
        auto fields = query(request.target);
        Message response;
        if (request.target.starts_with("/log-newest"))
            response = newest(fields);
        else if (request.target.starts_with("/log-read"))
            response = read(fields);
        else if (request.target.starts_with("/log-append"))
            response = append(fields, request.body);
        else
            response.status = 404;
        return sendAll(fd, responseBytes(response));
    }

    Message newest(std::map<std::string, std::string> &fields)
    {
        const std::scoped_lock lock(m_mutex);
        const auto &log = m_topics[fields["Topic"]];
        boost::json::array items;
        for (const auto &[key, entry] : log.newest)
            items.push_back(boost::json::object {
                {"Key", key}, {"Value", base64(entry.first)}, {"Offset", entry.second}});
        Message response;
        response.body = boost::json::serialize(
            boost::json::object {{"items", items}, {"HasMore", false}, {"End", log.end()}});
        return response;
    }

    Message read(std::map<std::string, std::string> &fields)
    {
        const auto from = std::stoull(fields["From"]);
        const auto wait = fields.contains("WaitMs") ? std::stoul(fields["WaitMs"]) : 0;
        const auto until = Clock::now() + Milliseconds(wait);
        std::unique_lock lock(m_mutex);
        auto &log = m_topics[fields["Topic"]];
        m_changed.wait_until(lock, until, [&] { return from < log.end(); });
        Message response;
        if (from < log.first) {
            response.status = 410;
            response.body = boost::json::serialize(boost::json::object {{"First", log.first}});
        } else {
            response.body = bigEndian(log.end()) + bigEndian(log.first);
            for (auto at = from; at < log.end(); ++at) {
                const auto &record = log.records[at - log.first];
                response.body += bigEndian(static_cast<std::uint32_t>(record.size())) + record;
            }
        }
        if (onRead)
            onRead(fields["Topic"], from, response.status);
        return response;
    }

    Message append(std::map<std::string, std::string> &fields, std::string_view body)
    {
        const std::scoped_lock lock(m_mutex);
        const auto topic = fields["Topic"];
        auto &log = m_topics[topic];
        Message response;
        if (fields.contains("At") && std::stoull(fields["At"]) != log.end()) {
            response.status = 412;
            response.body = boost::json::serialize(boost::json::object {{"End", log.end()}});
            return response;
        }
        const auto offset = log.end();
        while (body.size() >= 4) {
            std::uint32_t size = 0;
            for (std::size_t n = 0; n < 4; ++n)
                size = size << 8U | static_cast<unsigned char>(body[n]);
            const std::string record(body.substr(4, size));
            if (onAppend)
                onAppend(topic, log.end(), record);
            log.records.push_back(record);
            if (topic.starts_with("keyed.") && !record.empty()) {
                const auto keySize = static_cast<unsigned char>(record[0]);
                log.newest[record.substr(1, keySize)] = {record.substr(1 + keySize), log.end() - 1};
            }
            body.remove_prefix(std::min<std::size_t>(body.size(), 4 + size));
        }
        m_changed.notify_all();
        response.body =
            boost::json::serialize(boost::json::object {{"Offset", offset}, {"End", log.end()}});
        return response;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Log> m_topics;
    HttpServer m_server;
};

/// Headers with which a worker answers a request.
inline std::map<std::string, std::string> sealedHeaders(const Message &request,
                                                        const std::string &worker)
{
    return {{"X-Jujubesaddle-Attempt-Id", request.header("x-jujubesaddle-attempt-id")},
            {"X-Jujubesaddle-Server-Seal", worker + ".seal"},
            {"X-Jujubesaddle-Instance-Id", worker}};
}

/// The settings of a gateway of a small deployment; the bounds are those of DEPLOY.md.
struct GatewayOptions
{
    std::string name = "edge-harju-a-1";
    std::uint16_t storePort = 0;
    /// The descriptors that are left to sockets; 0 for no limit.
    unsigned maxFds = 0;
    unsigned leaseMs = 3'000;
    std::string logPath = "/dev/null";
};

/// A gateway process, started with the command of the deploy file.
class Gateway
{
public:
    Gateway(GatewayOptions options, const std::filesystem::path &folder)
        : m_options(std::move(options))
        , m_front(freePort())
        , m_ready(freePort())
        , m_siblings(freePort())
        , m_settings(folder / (m_options.name + ".toml"))
    {
        writeSettings();
    }
    ~Gateway() { end(SIGKILL); }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Changes a bound in the settings file; the platform may announce that with SIGHUP.
    void changeLeaseTime(unsigned milliseconds, bool isSignalled)
    {
        m_options.leaseMs = milliseconds;
        writeSettings();
        if (isSignalled)
            ::kill(m_pid, SIGHUP);
    }

    void writeSettings() const
    {
        std::ofstream file(m_settings);
        const std::string ip = "127.0.0.1:";
        file << "NodeName = \"" << m_options.name << "\"\n"
             << "Role = \"gateway\"\nMachineClass = \"edge\"\nServes = [\"edge\"]\n"
             << "Ip = \"127.0.0.1\"\nZone = \"harju-a\"\nRegion = \"harju\"\n"
             << "PortRange = [" << m_siblings << "," << m_siblings << "]\n"
             << "Bootstrap = false\nDiscovery = \"platform\"\nEntry = \"vip\"\n"
             << "HeartbeatMs = 1200\n[Zones]\nharju-a = \"harju\"\n[Listen]\n"
             << "Front = \"" << ip << m_front << "\"\nReady = \"" << ip << m_ready << "\"\n"
             << "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n"
             << "LinkMbps = 1000.0\nDiskMb = 0\n[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\n"
             << "StableWindowMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGraceS = 8\n"
             << "LossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\n"
             << "MaxSkewMs = 5000\nRevokeStrict = true\nRevokeMs = 5000\n"
             << "RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 56\nRecoverS = 12\n"
             << "TransitMs = 120\nAgainS = 10\nFencingRequired = false\n"
             << "LeaseMs = " << m_options.leaseMs
             << "\nThawSlackMs = 300\nVersionMs = 6000\nVersionAllMs = 8400\n[Platform]\n"
             << "Address = \"" << ip << m_options.storePort << "\"\nform = \"log\"\n"
             << "WritesPerS = 400\nReadsPerS = 2000\nparts = 12\nAppendMs = 2.0\n"
             << "PartMbS = 20.0\nReadMbS = 80.0\nRecordBytes = 262144\nCallBytes = 2097152\n"
             << "keep_s = 20\nPartMb = 200\nTtlMinMs = 1000\n";
    }

    void start()
    {
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        // A gateway does not outlive a script that is ended from outside.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(m_options.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        if (m_options.maxFds > 0) {
            const rlimit limit {m_options.maxFds, m_options.maxFds};
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        ::setenv("JUJUBESADDLE_SETTINGS", m_settings.c_str(), 1);
        ::execl("target/bin/jujubesaddle-gateway", "jujubesaddle-gateway", nullptr);
        ::_exit(127);
    }
    /// Sends a signal and, if that ends the process, waits for its end.
    void end(int signal)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, signal);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
    void signal(int number) const { ::kill(m_pid, number); }
    bool isRunning()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = 0;
        return m_pid > 0;
    }
    pid_t pid() const { return m_pid; }
    std::uint16_t front() const { return m_front; }
    const std::string &name() const { return m_options.name; }

    bool isReady() const
    {
        Message request;
        request.headers["Host"] = "ready";
        Channel channel(m_ready);
        const auto outcome = channel.send(request, Milliseconds(1'000));
        return outcome.kind == Outcome::Kind::Answered && outcome.response.status == 200;
    }
    bool awaitReady(Milliseconds patience) const
    {
        const auto until = Clock::now() + patience;
        while (Clock::now() < until) {
            if (isReady())
                return true;
            std::this_thread::sleep_for(Milliseconds(20));
        }
        return false;
    }
    std::size_t openDescriptors() const
    {
        std::error_code ec;
        std::size_t count = 0;
        for (const auto &entry :
             std::filesystem::directory_iterator("/proc/" + std::to_string(m_pid) + "/fd", ec)) {
            static_cast<void>(entry);
            ++count;
        }
        return count;
    }

private:
    GatewayOptions m_options;
    std::uint16_t m_front;
    std::uint16_t m_ready;
    std::uint16_t m_siblings;
    std::filesystem::path m_settings;
    pid_t m_pid = 0;
};

/// The descriptors that a process of this machine may have.
inline std::uint64_t maxDescriptors()
{
    rlimit files {};
    ::getrlimit(RLIMIT_NOFILE, &files);
    return files.rlim_max;
}

/// Returns whether the case runs with its disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Runs a case in a temporary folder and returns the exit code of its script: 0 if the rule held,
/// 1 if it was broken, 2 if the case could not run.
inline int runCase(const std::function<int(const std::filesystem::path &folder)> &body)
{
    ::signal(SIGPIPE, SIG_IGN);
    rlimit files {};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    auto name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(name.data()))
        return 2;
    int code = 2;
    try {
        code = body(name);
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << std::endl;
    }
    std::error_code ec;
    std::filesystem::remove_all(name, ec);
    return code;
}

/// The main function of a case; its argument is the path of record.txt. Threads of stand-ins still
/// run at the end, so that the process exits without unwinding.
inline int caseMain(int argc, char **argv,
                    const std::function<int(const std::filesystem::path &, Record &)> &run)
{
    if (argc != 2)
        return 2;
    Record record(argv[1]);
    const int code = runCase([&](const auto &folder) { return run(folder, record); });
    const std::string text = code == 1   ? "the rule was broken"
                             : code == 0 ? "the rule held"
                                         : "the case could not run";
    record.line(text);
    std::cout << text << std::endl;
    std::_Exit(code);
}

} // namespace Review
