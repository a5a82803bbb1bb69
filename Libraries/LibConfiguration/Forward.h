#pragma once

namespace Configuration {

class ConfigurationHistory;
class ConfigurationReader;
class Document;
class Publisher;
class RetryDelay;
class Share;
struct ConfigurationVersion;
struct Contract;
struct Fault;
struct FieldRow;
struct HistoryEntry;
struct Limits;
struct Model;
struct PlainService;
struct PriorityClass;
struct Publication;
struct Renewal;
struct ServiceRoute;
struct Splice;
struct Team;
struct UpstreamGroup;

} // namespace Configuration
