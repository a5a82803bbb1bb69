#pragma once

namespace Configuration {

class Document;
class Share;
struct Contract;
struct Fault;
struct FieldRow;
struct Limits;
struct Model;
struct PlainService;
struct PriorityClass;
struct ServiceRoute;
struct Team;
struct UpstreamGroup;

} // namespace Configuration
