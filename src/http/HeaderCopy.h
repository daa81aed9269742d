#pragma once

#include "http/HttpMessage.h"

#include <string>

namespace tamarack {

/// The headers of a Beast message, in order.
template <typename Fields>
HttpHeaders toHeaders(const Fields &fields)
{
    HttpHeaders headers;
    for (const auto &field : fields)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

} // namespace tamarack
