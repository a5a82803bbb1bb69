#pragma once

namespace Core {

class Clock;
class Error;
class IoThreads;
class ManualClock;
class SystemClock;
struct EventField;
enum class ErrorKind : unsigned;
enum class EventId : unsigned;
enum class ExecutionStatus;

} // namespace Core
