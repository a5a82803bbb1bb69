#pragma once

namespace Router {

class AnswerSink;
class CompletionCall;
class CompletionChunk;
class CompletionRelay;
class Instance;
class RequestRouter;
class RouterMetrics;
class Upstream;
class UpstreamDirectory;
struct CallContext;
struct RouterSettings;

} // namespace Router
