#include "base/AsioPch.h"
#include "base/Hash.h"
#include "config/Settings.h"
#include "http/HttpClient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <set>

#include <spdlog/fmt/fmt.h>

ABSL_FLAG(std::string, fleet, "", "fleet.json of the fleet under load");
ABSL_FLAG(std::string, target, "", "IP:PORT to load directly instead of the entries");
ABSL_FLAG(std::string, token, "", "bearer token; default the fleet's workspaces in turn");
ABSL_FLAG(std::string, tiers, "live,interactive,standard,batch", "tiers in turn");
ABSL_FLAG(double, rate, 20, "requests a second; 0 keeps --concurrency requests running");
ABSL_FLAG(int, concurrency, 16, "requests at a time when --rate is 0");
ABSL_FLAG(double, seconds, 10, "duration of the load");
ABSL_FLAG(int, prompt_chars, 800, "median length of a prompt");
ABSL_FLAG(int, max_tokens, 40, "median output bound");
ABSL_FLAG(double, service_share, 0.1, "share of calls to plain services");
ABSL_FLAG(int, seed, 1, "seed of the load");
ABSL_FLAG(std::string, not_run_log, "", "file for the ids of requests that were told not run");
ABSL_FLAG(bool, allow_broken, false, "lost connections are no failure, for tests that kill");
ABSL_FLAG(bool, verify, true, "check that answers are whole and belong to their requests");

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace tamarack;
using Clock = std::chrono::steady_clock;

constexpr milliseconds connectTimeout{2000};
constexpr milliseconds answerTimeout{120'000};
constexpr milliseconds goodGap{35};
constexpr int lengthSpread = 10;

struct TierResult
{
    std::uint64_t sent = 0;
    std::uint64_t whole = 0;
    std::uint64_t good = 0;
    std::uint64_t refused = 0;
    std::uint64_t broken = 0;
    std::uint64_t wrong = 0;
    std::vector<double> firstTokenMs;
    std::vector<double> totalMs;
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

struct Plan
{
    std::vector<Endpoint> entries;
    std::vector<std::string> tokens;
    std::vector<std::string> tiers;
    std::string model = "drafting-models";
    std::string service = "booking-app";
};

class Load
{
public:
    Load(asio::io_context &context, Plan plan)
        : m_context(context)
        , m_plan(std::move(plan))
        , m_random(static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)))
    {}

    asio::awaitable<void> openLoop(double rate)
    {
        const auto end = Clock::now()
                         + std::chrono::duration_cast<Clock::duration>(
                             std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds)));
        auto next = Clock::now();
        std::exponential_distribution<double> gap(rate);
        asio::steady_timer timer(m_context);
        while (next < end) {
            timer.expires_at(next);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            asio::co_spawn(
                m_context, [this] { return one(); }, asio::detached);
            next += std::chrono::duration_cast<Clock::duration>(
                std::chrono::duration<double>(gap(m_random)));
        }
    }

    asio::awaitable<void> closedLoop()
    {
        const auto end = Clock::now()
                         + std::chrono::duration_cast<Clock::duration>(
                             std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds)));
        while (Clock::now() < end)
            co_await one();
    }

    void print() const
    {
        fmt::print("{:<12} {:>7} {:>7} {:>7} {:>8} {:>7} {:>6} {:>9} {:>9} {:>9}\n", "tier", "sent",
                   "whole", "good", "refused", "broken", "wrong", "ttft p50", "ttft p99",
                   "total p50");
        for (const auto &[tier, result] : m_results)
            fmt::print("{:<12} {:>7} {:>7} {:>7} {:>8} {:>7} {:>6} {:>9.2f} {:>9.2f} {:>9.2f}\n",
                       tier, result.sent, result.whole, result.good, result.refused, result.broken,
                       result.wrong, percentile(result.firstTokenMs, 0.5),
                       percentile(result.firstTokenMs, 0.99), percentile(result.totalMs, 0.5));
        for (const auto &[reason, count] : m_reasons)
            fmt::print("refused {:<22} {}\n", reason, count);
    }

    bool promisesHeld() const
    {
        return std::ranges::all_of(m_results, [](const auto &row) {
            const bool broken = row.second.broken > 0 && !absl::GetFlag(FLAGS_allow_broken);
            return !broken && row.second.wrong == 0;
        });
    }

private:
    int spread(int median)
    {
        std::lognormal_distribution<double> factor(0, 0.8);
        const double value =
            std::clamp(factor(m_random), 1.0 / lengthSpread, static_cast<double>(lengthSpread));
        return std::max(1, static_cast<int>(median * value));
    }

    asio::awaitable<void> one()
    {
        const std::size_t number = m_number++;
        const std::string tier = m_plan.tiers[number % m_plan.tiers.size()];
        const Endpoint entry = m_plan.entries[number % m_plan.entries.size()];
        const std::string token = m_plan.tokens[number % m_plan.tokens.size()];
        std::uniform_real_distribution<double> uniform(0, 1);
        const bool service = uniform(m_random) < absl::GetFlag(FLAGS_service_share);
        HttpRequest request{
            "POST", "", {{"Authorization", "Bearer " + token}, {"Tamarack-Tier", tier}}, ""};
        TierResult &result = m_results[tier];
        ++result.sent;
        if (service)
            co_await callService(entry, std::move(request), number, result);
        else
            co_await callModel(entry, std::move(request), number, result);
    }

    asio::awaitable<void> callService(Endpoint entry, HttpRequest request, std::size_t number,
                                      TierResult &result)
    {
        request.target = "/v1/services/" + m_plan.service + "/book";
        request.body = "{\"slot\":" + std::to_string(number) + "}";
        request.headers.emplace_back("Idempotency-Key",
                                     fmt::format("load-{}-{}", absl::GetFlag(FLAGS_seed), number));
        const std::string sent = request.body;
        HttpClient client(m_context.get_executor());
        const auto started = Clock::now();
        const auto response = co_await client.call(entry, std::move(request), answerTimeout);
        if (!response) {
            ++result.broken;
            co_return;
        }
        if (response->status != 200)
            co_return refused(response->headers, response->body, result);
        boost::system::error_code error;
        const json::value document = json::parse(response->body, error);
        const bool own = !error && document.at("echo").as_string() == sent;
        own ? ++result.whole : ++result.wrong;
        result.good += own;
        result.totalMs.push_back(elapsedMs(started));
    }

    asio::awaitable<void> callModel(Endpoint entry, HttpRequest request, std::size_t number,
                                    TierResult &result)
    {
        std::string prompt = "request " + std::to_string(number) + " ";
        prompt.resize(
            static_cast<std::size_t>(std::max<int>(spread(absl::GetFlag(FLAGS_prompt_chars)),
                                                   static_cast<int>(prompt.size()))),
            'x');
        const int tokens = spread(absl::GetFlag(FLAGS_max_tokens));
        request.target = "/v1/completions";
        request.headers.emplace_back("Content-Type", "application/json");
        request.body = json::serialize(json::object{
            {"model", m_plan.model}, {"prompt", prompt}, {"stream", true}, {"max_tokens", tokens}});
        const auto started = Clock::now();
        HttpStream stream(m_context.get_executor());
        const auto head =
            co_await stream.open(entry, std::move(request), connectTimeout, answerTimeout);
        if (!head) {
            ++result.broken;
            co_return;
        }
        co_await readAnswer(stream, *head, prompt, tokens, started, result);
    }

    asio::awaitable<void> readAnswer(HttpStream &stream, const HttpResponse &head,
                                     const std::string &prompt, int tokens,
                                     Clock::time_point started, TierResult &result)
    {
        std::string body;
        double firstMs = 0;
        while (true) {
            const auto piece = co_await stream.read(answerTimeout);
            if (!piece) {
                ++result.broken;
                co_return;
            }
            if (!*piece)
                break;
            if (body.empty())
                firstMs = elapsedMs(started);
            body += **piece;
        }
        if (head.status != 200)
            co_return refused(head.headers, body, result);
        const double totalMs = elapsedMs(started);
        if (absl::GetFlag(FLAGS_verify) && !isWhole(body, prompt, tokens)) {
            ++result.wrong;
            co_return;
        }
        ++result.whole;
        result.firstTokenMs.push_back(firstMs);
        result.totalMs.push_back(totalMs);
        const double gap = (totalMs - firstMs) / std::max(1, tokens - 1);
        result.good +=
            firstMs <= firstTokenBoundMs(result) && gap <= static_cast<double>(goodGap.count());
    }

    /// Targets of the tiers, highest first, as the local fleet's presets set them.
    double firstTokenBoundMs(const TierResult &result) const
    {
        double bound = 420;
        for (const std::string &tier : m_plan.tiers) {
            if (&m_results.at(tier) == &result)
                break;
            bound *= 3;
        }
        return bound;
    }

    static bool isWhole(const std::string &body, const std::string &prompt, int tokens)
    {
        if (!body.ends_with("data: [DONE]\n\n"))
            return false;
        const std::uint64_t seed = fnv1a(prompt);
        std::size_t at = 0;
        for (int index = 0; index < tokens; ++index) {
            const std::string word =
                fmt::format("\"text\":\"w{} \"", (seed + static_cast<std::uint64_t>(index)) % 9973);
            at = body.find(word, at);
            if (at == std::string::npos)
                return false;
            at += word.size();
        }
        return body.find("\"text\"", at) == std::string::npos;
    }

    void refused(const HttpHeaders &headers, const std::string &body, TierResult &result)
    {
        ++result.refused;
        if (findHeader(headers, "Tamarack-Outcome") == "not-run")
            m_notRun << findHeader(headers, "Tamarack-Request-Id").value_or("") << '\n';
        boost::system::error_code error;
        const json::value document = json::parse(body, error);
        const auto *object = document.if_object();
        const auto *fault = error || !object ? nullptr : object->if_contains("error");
        ++m_reasons[fault ? std::string(fault->at("kind").as_string()) : "unreadable"];
    }

    static double elapsedMs(Clock::time_point since)
    {
        return std::chrono::duration<double, std::milli>(Clock::now() - since).count();
    }

    asio::io_context &m_context;
    Plan m_plan;
    std::mt19937_64 m_random;
    std::size_t m_number = 0;
    std::map<std::string, TierResult> m_results;
    std::map<std::string, std::uint64_t> m_reasons;
    std::ofstream m_notRun{absl::GetFlag(FLAGS_not_run_log)};
};

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

Plan planOf(const json::value &fleet)
{
    Plan plan;
    for (const auto &process : fleet.at("processes").as_array()) {
        if (process.at("role").as_string() == "entry")
            plan.entries.push_back(
                *parseEndpoint(std::string_view(process.at("addresses").at("caller").as_string())));
    }
    for (const auto &row : fleet.at("tokens").at("workspaces").as_object())
        plan.tokens.emplace_back(row.value().as_string());
    plan.model = std::string(fleet.at("models").at(0).as_string());
    if (!fleet.at("services").as_array().empty())
        plan.service = std::string(fleet.at("services").at(0).as_string());
    return plan;
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    Plan plan;
    if (const std::string path = absl::GetFlag(FLAGS_fleet); !path.empty()) {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        boost::system::error_code error;
        const json::value fleet = json::parse(text.str(), error);
        if (!file || error) {
            std::cerr << "cannot read " << path << '\n';
            return 2;
        }
        plan = planOf(fleet);
    }
    if (const auto target = parseEndpoint(absl::GetFlag(FLAGS_target)))
        plan.entries = {*target};
    if (!absl::GetFlag(FLAGS_token).empty())
        plan.tokens = {absl::GetFlag(FLAGS_token)};
    if (plan.tokens.empty())
        plan.tokens = {"none"};
    if (plan.entries.empty()) {
        std::cerr << "--fleet or --target is required\n";
        return 2;
    }
    plan.tiers = split(absl::GetFlag(FLAGS_tiers));
    asio::io_context context(1);
    Load load(context, std::move(plan));
    const double rate = absl::GetFlag(FLAGS_rate);
    if (rate > 0)
        asio::co_spawn(context, load.openLoop(rate), asio::detached);
    for (int i = 0; rate <= 0 && i < absl::GetFlag(FLAGS_concurrency); ++i)
        asio::co_spawn(context, load.closedLoop(), asio::detached);
    context.run();
    load.print();
    return load.promisesHeld() ? 0 : 1;
}
