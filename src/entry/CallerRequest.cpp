#include "entry/CallerRequest.h"

#include "base/Hash.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

namespace tamarack {

namespace json = boost::json;

namespace {

constexpr std::string_view servicesPath = "/v1/services/";
constexpr std::string_view servicePrefix = "service:";
constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t prefixBytes = 512;
constexpr std::size_t longestKey = 256;
constexpr std::int64_t longestDeadlineMs = 86'400'000;
constexpr std::int64_t defaultOutputTokens = 256;
constexpr std::int64_t largestOutputTokens = 1'000'000;
/// Rough engine speeds that turn sizes into an order of work.
constexpr std::chrono::microseconds workPerPromptToken{200};
constexpr std::chrono::microseconds workPerOutputToken{2000};

Result<TierRank> chooseTier(const HttpRequest &request, const WorkspacePolicy &policy,
                            const FleetConfig &config)
{
    const auto &tiers = config.preset().tiers;
    const auto lowest = static_cast<TierRank>(tiers.size() - 1);
    TierRank tier = config.tierRank(policy.defaultTier).value_or(lowest);
    if (const auto name = findHeader(request.headers, "Tamarack-Tier")) {
        const auto asked = config.tierRank(*name);
        if (!asked)
            return failure(ErrorKind::BadRequest,
                           "Tamarack-Tier names no tier: " + std::string(*name));
        tier = *asked;
    }
    const auto highest = config.tierRank(policy.highestTier);
    if (highest && tier < *highest)
        return failure(ErrorKind::Forbidden, "the workspace may not use this tier");
    return tier;
}

Result<Duration> chooseDeadline(const HttpRequest &request, const TierPolicy &tier)
{
    const auto text = findHeader(request.headers, "Tamarack-Deadline-Ms");
    if (!text)
        return tier.defaultDeadline;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size() || value < 1
        || value > longestDeadlineMs)
        return failure(ErrorKind::BadRequest,
                       "Tamarack-Deadline-Ms must be a whole number from 1 to 86400000");
    return milliseconds(value);
}

Result<std::string> readKey(const HttpRequest &request)
{
    const auto key = findHeader(request.headers, "Idempotency-Key");
    if (!key)
        return std::string();
    const auto printable = [](unsigned char c) { return c >= 0x20 && c < 0x7F; };
    if (key->empty() || key->size() > longestKey || !std::ranges::all_of(*key, printable))
        return failure(ErrorKind::BadRequest,
                       "Idempotency-Key must be 1 to 256 printable ASCII characters");
    return std::string(*key);
}

std::string promptOf(const json::object &object)
{
    if (const auto *prompt = object.if_contains("prompt"); prompt && prompt->is_string())
        return std::string(prompt->get_string());
    if (const auto *messages = object.if_contains("messages"))
        return json::serialize(*messages);
    return "";
}

Result<std::int64_t> outputBound(const json::object &object)
{
    const auto *bound = object.if_contains("max_tokens");
    if (!bound || bound->is_null())
        return defaultOutputTokens;
    const bool valid = bound->is_uint64() || (bound->is_int64() && bound->get_int64() > 0);
    if (!valid)
        return failure(ErrorKind::BadRequest, "max_tokens: must be a whole number of at least 1");
    return bound->is_int64() ? std::min(bound->get_int64(), largestOutputTokens)
                             : largestOutputTokens;
}

Result<void> readModelCall(const HttpRequest &request, const FleetConfig &config,
                           Submission &submission)
{
    boost::system::error_code error;
    const json::value document = json::parse(request.body, error);
    const auto *object = document.if_object();
    if (error || !object)
        return failure(ErrorKind::BadRequest, "the body must be a JSON object");
    const auto *model = object->if_contains("model");
    if (!model || !model->is_string())
        return failure(ErrorKind::BadRequest, "model: is required and must be a string");
    submission.target = std::string(model->get_string());
    if (std::ranges::find(config.models, submission.target) == config.models.end())
        return failure(ErrorKind::NotFound, "model: no such model: " + submission.target);
    const bool chat = request.path() == "/v1/chat/completions";
    const std::string_view needed = chat ? "messages" : "prompt";
    const auto *input = object->if_contains(needed);
    if (!input || !(chat ? input->is_array() : input->is_string()))
        return failure(ErrorKind::BadRequest, std::string(needed) + ": is required and must be "
                                                  + (chat ? "an array" : "a string"));
    const auto *stream = object->if_contains("stream");
    if (stream && !stream->is_bool())
        return failure(ErrorKind::BadRequest, "stream: must be true or false");
    const auto outputTokens = outputBound(*object);
    if (!outputTokens)
        return tl::unexpected(outputTokens.error());
    const std::string prompt = promptOf(*object);
    submission.body.stream = stream && stream->get_bool();
    submission.promptTokens = static_cast<std::uint32_t>(prompt.size() / bytesPerToken + 1);
    submission.expectedWork =
        submission.promptTokens * workPerPromptToken + *outputTokens * workPerOutputToken;
    submission.outputTokens = static_cast<std::uint32_t>(*outputTokens);
    submission.prefix = fnv1a(std::string_view(prompt).substr(0, prefixBytes)) | 1;
    submission.body.path = std::string(request.path());
    return {};
}

Result<void> readServiceCall(const HttpRequest &request, const FleetConfig &config,
                             Submission &submission)
{
    const std::string_view rest = std::string_view(request.target).substr(servicesPath.size());
    const std::string_view name = rest.substr(0, rest.find_first_of("/?"));
    if (!config.services.contains(name))
        return failure(ErrorKind::NotFound, "no such service: " + std::string(name));
    submission.target = std::string(servicePrefix) + std::string(name);
    submission.body.path = std::string(rest.substr(name.size()));
    if (!submission.body.path.starts_with('/'))
        submission.body.path.insert(0, "/");
    submission.idempotent = config.isIdempotent(name, request.method, submission.body.path);
    return {};
}

} // namespace

Result<Submission> parseCallerRequest(const HttpRequest &request, std::string_view workspace,
                                      const FleetConfig &config)
{
    const auto known = config.workspaces.find(workspace);
    const WorkspacePolicy policy =
        known == config.workspaces.end() ? WorkspacePolicy{} : known->second;
    Submission submission;
    const auto tier = chooseTier(request, policy, config);
    if (!tier)
        return tl::unexpected(tier.error());
    submission.tier = *tier;
    const auto deadline = chooseDeadline(request, config.preset().tiers[*tier]);
    if (!deadline)
        return tl::unexpected(deadline.error());
    submission.timeToDeadline = *deadline;
    auto key = readKey(request);
    if (!key)
        return tl::unexpected(key.error());
    submission.key = std::move(*key);
    submission.workspace = workspace;
    submission.body.method = request.method;
    submission.body.contentType = findHeader(request.headers, "Content-Type").value_or("");
    const bool service = std::string_view(request.target).starts_with(servicesPath);
    const auto read = service ? readServiceCall(request, config, submission)
                              : readModelCall(request, config, submission);
    if (!read)
        return tl::unexpected(read.error());
    submission.fingerprint =
        fingerprint(workspace, request.method + " " + request.target + "\n" + request.body);
    submission.body.body = request.body;
    return submission;
}

std::string errorBody(ErrorKind kind, std::string_view message, std::string_view requestId)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    const json::object fault{{"kind", answer.name},
                             {"message", message},
                             {"request_id", requestId},
                             {"outcome", outcomeName(answer.outcome)}};
    return json::serialize(json::object{{"error", fault}});
}

HttpResponse errorResponse(ErrorKind kind, std::string_view message, std::string_view requestId)
{
    const ErrorAnswer &answer = errorAnswer(kind);
    HttpResponse response;
    response.status = answer.httpStatus;
    response.headers = {{"Content-Type", "application/json"},
                        {"Tamarack-Outcome", std::string(outcomeName(answer.outcome))}};
    if (!requestId.empty())
        response.headers.emplace_back("Tamarack-Request-Id", requestId);
    if (answer.retryAfterSeconds > 0)
        response.headers.emplace_back("Retry-After", std::to_string(answer.retryAfterSeconds));
    response.body = errorBody(kind, message, requestId);
    return response;
}

} // namespace tamarack
