#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace Metrics {

/// The labels of a series: the calling team and the priority class of its request.
struct Labels
{
    std::string team;
    std::string priorityClass;

    // The linter mistakes the implicit comparison with 0 for a null pointer.
    friend auto operator<=>(const Labels &,
                            const Labels &) = default; // NOLINT(modernize-use-nullptr)
};

/// Formats the labels in the Prometheus text format, with an extra label unless its name is empty:
/// {team="a",class="b",le="0.1"}.
std::string formatLabels(const Labels &labels, std::string_view extraName = {},
                         std::string_view extraValue = {});

/// A metric family: all series with the same name.
class Family
{
public:
    explicit Family(std::string name, std::string help)
        : m_name(std::move(name))
        , m_help(std::move(help))
    { }
    virtual ~Family() = default;
    virtual std::string render() const = 0;

protected:
    /// Returns the HELP and TYPE lines.
    std::string header(std::string_view type) const;
    const std::string &name() const { return m_name; }

private:
    std::string m_name;
    std::string m_help;
};

} // namespace Metrics
