#pragma once

namespace Platform {

class EmbeddedLogService;
class HttpInstanceDirectory;
class HttpLogService;
class InMemoryLog;
class InstanceDirectory;
class LogService;
class PlatformClient;
struct InstanceList;
struct ListedInstance;
struct LogPage;
struct LogRecord;

} // namespace Platform
