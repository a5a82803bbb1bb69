#pragma once

namespace Platform {

class InMemoryLog;
class LogService;
struct LogPage;
struct LogRecord;

} // namespace Platform
