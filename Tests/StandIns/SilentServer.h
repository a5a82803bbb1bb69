#pragma once

#include "RawServer.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace StandIns {

/// A server that answers every call with the same body. Once it is silent, its open connections get
/// no answers and are not reset, while those that are opened later are served.
struct SilentServer
{
    explicit SilentServer(const std::string &body)
        : answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                 + body)
    { }

    const std::string answer;
    std::atomic<bool> isSilent {false};
    RawServer server {[this](auto &connection, const auto &) {
        connection.keep();
        if (connection.served() > 0 && isSilent)
            return;
        // Calls that overlap need a connection each.
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        connection.send(answer);
    }};
};

} // namespace StandIns
