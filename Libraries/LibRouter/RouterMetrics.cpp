#include <LibRouter/RouterMetrics.h>

namespace Router {

RouterMetrics::RouterMetrics()
{
    for (const Metrics::Family *family : std::initializer_list<const Metrics::Family *> {
             &firstToken, &queueWait, &answerTime, &prefixHit, &requests, &refusals, &promptTokens,
             &cachedTokens, &completionTokens, &resumed, &retries})
        m_registry.add(*family);
}

} // namespace Router
