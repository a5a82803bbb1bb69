#pragma once

#include <LibAccounting/UsageMeter.h>
#include <LibAdmission/Controller.h>
#include <LibAdmission/RetryBudget.h>
#include <LibAdmission/SuspectTable.h>
#include <LibClaims/ClaimCoordinator.h>
#include <LibConfiguration/Document.h>
#include <LibCore/Clock.h>
#include <LibCore/Snapshot.h>
#include <LibHttp/Client.h>
#include <LibPlacement/Placement.h>
#include <LibRouter/RouterMetrics.h>
#include <LibRouter/RouterSettings.h>
#include <LibRouter/UpstreamDirectory.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace Router {

/// A configuration document and the generation under which it was accepted.
struct ConfigurationInForce
{
    std::uint64_t generation = 0;
    std::shared_ptr<const Configuration::Document> document;
};

/// The state of one entry instance that all its requests share. Safe from any thread.
class Instance
{
public:
    Instance(const Core::Clock &clock, RouterSettings settings);

    const Core::Clock &clock() const { return m_clock; }
    const RouterSettings &settings() const { return m_settings; }
    Http::Client &client() { return m_client; }
    Placement::Placement &placement() { return m_placement; }
    UpstreamDirectory &directory() { return m_directory; }
    RouterMetrics &metrics() { return m_metrics; }
    Admission::Controller &admission() { return *m_admission; }
    Accounting::UsageMeter &usage() { return m_usage; }
    Admission::SuspectTable &suspects() { return m_suspects; }
    /// Records that an upstream crashed while it processed the request, and reports that to
    /// siblings immediately, because the caller may send the request again to any of them.
    void noteCrash(std::uint64_t crash, Admission::RequestDigest digest);
    /// Sets the hook that reports a crash to siblings. Must be called before the first request; the
    /// hook is called from any thread.
    void setCrashHook(std::function<void()> hook) { m_crashHook = std::move(hook); }
    /// Null until setClaims() is called, which must happen before the first request.
    Claims::ClaimCoordinator *claims() { return m_claims.get(); }
    void setClaims(std::shared_ptr<Claims::ClaimCoordinator> claims)
    {
        m_claims = std::move(claims);
    }
    /// Returns the retry budget of a group. The reference is valid for the lifetime of the
    /// instance.
    Admission::RetryBudget &retryBudget(const Core::UpstreamGroupId &group);

    ConfigurationInForce configuration() const;
    /// Returns the document of a generation that was in force in this incarnation of the instance,
    /// or otherwise the current one.
    // FIXME: After a restart, usage from before a change of shares is settled with the current
    // shares; the history of the configuration in the log contains the older ones.
    std::shared_ptr<const Configuration::Document>
    documentForGeneration(std::uint64_t generation) const;
    /// Puts a document in force if its generation is newer than the current one.
    void setConfiguration(ConfigurationInForce next);

    /// Updates the admission with the number of slots of the live upstreams.
    void refreshSlots();
    /// Rejects requests that are past their deadline, renews shares and records them in the
    /// account. Must be called every 50 to 200 ms.
    void tickAdmission();

    bool isDraining() const { return m_draining; }
    /// Stops accepting new requests. Running requests continue.
    void drain();
    bool isReady() const;

    /// Returns a request id that no other instance and no other incarnation of this instance uses.
    std::string nextRequestId();

private:
    const Core::Clock &m_clock;
    RouterSettings m_settings;
    Http::Client m_client;
    Placement::Placement m_placement;
    UpstreamDirectory m_directory;
    RouterMetrics m_metrics;
    std::unique_ptr<Admission::Controller> m_admission;
    Accounting::UsageMeter m_usage;
    Admission::SuspectTable m_suspects;
    std::function<void()> m_crashHook;
    std::shared_ptr<Claims::ClaimCoordinator> m_claims;
    std::mutex m_budgetMutex;
    std::unordered_map<Core::UpstreamGroupId, std::unique_ptr<Admission::RetryBudget>> m_budgets;
    mutable std::mutex m_configurationWriter;
    std::map<std::uint64_t, std::shared_ptr<const Configuration::Document>> m_documents;
    Core::Snapshot<ConfigurationInForce> m_configuration;
    std::atomic<bool> m_draining {false};
    std::atomic<std::uint64_t> m_requests {0};
};

} // namespace Router
