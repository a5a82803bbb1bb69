#pragma once

#include <LibCore/Error.h>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/base.hpp>

namespace Core {

/// Makes Result::value() throw the carried Error.
struct ThrowErrorPolicy : boost::outcome_v2::policy::base
{
    template <typename Impl>
    static constexpr void wide_value_check(Impl &&self) // NOLINT(readability-identifier-naming)
    {
        if (!base::_has_value(std::forward<Impl>(self)))
            throw base::_error(std::forward<Impl>(self));
    }
    template <typename Impl>
    static constexpr void wide_error_check(Impl &&) // NOLINT(readability-identifier-naming)
    { }
};

/// Holds a value, such as the object that a factory function created, or the error that occurred.
/// value() throws that error.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, ThrowErrorPolicy>;

} // namespace Core
