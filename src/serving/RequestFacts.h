#pragma once

#include "base/Time.h"
#include "http/HttpMessage.h"
#include "serving/UpstreamStatement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// One cached part of a prompt.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a client's request says beyond its bytes; decoded from its headers.
struct RequestFacts
{
    std::string id;
    std::string host;
    /// Time that the client will wait, from the arrival of the request.
    std::optional<milliseconds> deadline;
    std::string key;
    /// Prompt tokens and the most tokens of the answer; empty when not told.
    std::optional<std::uint32_t> promptTokens;
    std::uint32_t outputTokens = 0;
    /// The client's estimate of the output tokens.
    std::optional<std::uint32_t> outputEstimate;
    std::vector<PromptPart> promptParts;
    /// The client resumes a stream after this event.
    std::optional<std::uint64_t> resumeAfter;
    /// Headers that are passed on unchanged, in order.
    HttpHeaders forwarded;
};

/// What the head of an upstream's answer says.
struct AnswerFacts
{
    /// Id of the request that it answers; empty when not told.
    std::string requestId;
    /// Proof that the body is the upstream's.
    bool hasSignature = false;
    /// The upstream states that the request did not run.
    bool notExecuted = false;
    /// Another incarnation has the address; the request did not run.
    bool misdirected = false;
    /// The body is encoded, so it is not the upstream's own.
    bool encoded = false;
    /// The upstream closes the connection, and may be leaving.
    bool closing = false;
    /// How long the upstream keeps an idle connection; empty when not told.
    std::optional<milliseconds> keepAlive;
    /// Requests running and waiting at the upstream, where told.
    std::optional<int> running;
    std::optional<int> waiting;
    UpstreamStatement statement;
    /// Headers for the client, without those of one connection.
    HttpHeaders forwarded;
};

} // namespace tamarack
