#pragma once

#include "base/Time.h"
#include "http/HttpMessage.h"
#include "serving/UpstreamOccupancy.h"
#include "serving/UpstreamStatement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// A part of a prompt that upstreams can cache.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Properties of a client's request, decoded from its headers.
struct RequestFacts
{
    std::string id;
    std::string host;
    /// How long the client waits for the response, counted from the arrival of the request.
    std::optional<milliseconds> deadline;
    std::string key;
    /// Number of prompt tokens, if stated, and the maximum number of output tokens.
    std::optional<std::uint32_t> promptTokens;
    std::uint32_t outputTokens = 0;
    /// The client's estimate of the output tokens.
    std::optional<std::uint32_t> outputEstimate;
    std::vector<PromptPart> promptParts;
    /// Id of the last event that the client received of the stream that it resumes.
    std::optional<std::uint64_t> resumeAfter;
    /// Id of the client's attempt that brought the first event of that stream; empty if not stated.
    std::string resumedRequest;
    /// Headers that are forwarded unchanged, in order.
    HttpHeaders forwarded;
};

/// Properties of an upstream's response, decoded from its status line and headers.
struct ResponseFacts
{
    /// Id of the request that the response belongs to; empty if not stated.
    std::string requestId;
    /// Id of the responding upstream, which responses to health checks state.
    std::string upstreamId;
    /// The response carries the upstream's signature, which shows that the body originates from it.
    bool hasSignature = false;
    /// The upstream states that the request did not run.
    bool notExecuted = false;
    /// Another incarnation of the upstream now has the address; the request did not run.
    bool misdirected = false;
    /// The body has a content encoding. Upstreams send none, so the body is not the upstream's own.
    bool encoded = false;
    /// The upstream closes the connection after this response, and may be leaving.
    bool closing = false;
    /// How long the upstream keeps an idle connection open, if stated.
    std::optional<milliseconds> keepAlive;
    /// The load of the upstream, if it states one that is valid.
    std::optional<UpstreamOccupancy> occupancy;
    /// A statement of its load could not be parsed, or two of them differ.
    bool malformedOccupancy = false;
    UpstreamStatement statement;
    /// Headers that are forwarded to the client, without hop-by-hop headers.
    HttpHeaders forwarded;
};

} // namespace tamarack
