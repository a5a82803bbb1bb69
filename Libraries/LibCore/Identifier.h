#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Core {

/// A strongly typed identifier. Distinct tags prevent, for example, passing a team id where an
/// upstream id is expected.
template <typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    { }

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    // clang-tidy mistakes the literal zero in the defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Identifier &, const Identifier &) = default;
    friend std::ostream &operator<<(std::ostream &out, const Identifier &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

/// An entry instance of the system, unique within an environment.
using InstanceId = Identifier<struct InstanceTag>;
/// A data centre with its own instances and upstreams.
using DataCentreId = Identifier<struct DataCentreTag>;
/// A customer team that owns keys and contracts.
using TeamId = Identifier<struct TeamTag>;
/// One upstream process: a model engine or a plain service's worker.
using UpstreamId = Identifier<struct UpstreamTag>;
/// A group of interchangeable upstreams that serve one model or one plain service.
using UpstreamGroupId = Identifier<struct UpstreamGroupTag>;
/// A model as callers name it.
using ModelId = Identifier<struct ModelTag>;
/// A priority class of work.
using PriorityClassId = Identifier<struct PriorityClassTag>;

} // namespace Core

template <typename Tag>
struct std::hash<Core::Identifier<Tag>>
{
    std::size_t operator()(const Core::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};
