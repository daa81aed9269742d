#pragma once

#include "tamarackseam/ErrorKind.h"

#include <string>
#include <tl/expected.hpp>

namespace tamarack {

/// A typed failure with a message for people.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// Shorthand to return a failure from a function with a `Result`.
inline tl::unexpected<Error> failure(ErrorKind kind, std::string message)
{
    return tl::unexpected<Error>(Error{kind, std::move(message)});
}

} // namespace tamarack
