#pragma once

#include "config/FleetConfig.h"
#include "http/HttpMessage.h"
#include "sched/EntryCore.h"
#include "tamarackseam/Error.h"

#include <string>
#include <string_view>

namespace tamarack {

/// Turns a caller's HTTP request into a submission. `workspace` is who the token names.
/// Every fault of the request gives a message that says what to change.
Result<Submission> parseCallerRequest(const HttpRequest &request, std::string_view workspace,
                                      const FleetConfig &config);

/// The JSON body of an error answer.
std::string errorBody(ErrorKind kind, std::string_view message, std::string_view requestId);

/// A whole error answer with its outcome and, where apt, `Retry-After`.
HttpResponse errorResponse(ErrorKind kind, std::string_view message, std::string_view requestId);

} // namespace tamarack
