#include "base/Hash.h"
#include "sched/EntryCore.h"
#include "support/CoreHarness.h"

#include <algorithm>
#include <random>

#include <boost/test/unit_test.hpp>
#include <spdlog/fmt/fmt.h>

using namespace tamarack;
using namespace tamarack::harness;
using std::chrono::seconds;

namespace {

constexpr GateLinkId link = 1;
constexpr Incarnation gate = 77;

/// An entry with two requests dispatched to one gate.
class DispatchedRequest
{
public:
    DispatchedRequest()
        : m_core(options())
    {
        m_core.applyConfig(*parseFleetConfig(defaultConfig(), 1), m_now);
        m_core.linkUp(link, {"up-0", "dc", gate}, m_now);
        GateHeartbeat heartbeat;
        heartbeat.engineUp = true;
        heartbeat.targets = {"model"};
        m_core.receive(link, heartbeat, m_now);
        m_first = submit();
        m_second = submit();
        m_core.receive(
            link, Grant{{{1, "model", 0, "ws", 60'000, 0, 0}, {2, "model", 0, "ws", 60'000, 0, 0}}},
            m_now);
        collect();
    }

    RequestId first() const { return m_first; }
    RequestId second() const { return m_second; }

    void receive(const PeerMessage &message)
    {
        m_core.receive(link, message, m_now);
        collect();
    }

    void advance(Duration duration)
    {
        m_now += duration;
        m_core.tick(m_now);
        collect();
    }

    const std::string &bytes(RequestId id) { return m_bytes[id]; }
    bool finished(RequestId id) const { return m_finished.contains(id); }
    std::optional<ErrorKind> failure(RequestId id) const
    {
        const auto found = m_failures.find(id);
        return found == m_failures.end() ? std::nullopt : std::optional(found->second);
    }
    int queries() const { return m_queries; }

private:
    static EntryOptions options()
    {
        EntryOptions entry;
        entry.incarnation = 5;
        return entry;
    }

    RequestId submit()
    {
        Submission submission;
        submission.target = "model";
        submission.workspace = "ws";
        submission.timeToDeadline = seconds(30);
        submission.body.stream = true;
        return m_core.submit(std::move(submission), m_now);
    }

    void collect()
    {
        for (const EntryAction &action : m_core.takeActions(m_now)) {
            if (const auto *bytes = std::get_if<entry::Bytes>(&action))
                m_bytes[bytes->request] += bytes->bytes;
            else if (const auto *finish = std::get_if<entry::Finish>(&action))
                m_finished.insert(finish->request);
            else if (const auto *fail = std::get_if<entry::Fail>(&action))
                m_failures[fail->request] = fail->kind;
            else if (const auto *send = std::get_if<entry::Send>(&action))
                m_queries += std::holds_alternative<StatusQuery>(send->message);
        }
    }

    TimePoint m_now{seconds(100)};
    EntryCore m_core;
    RequestId m_first;
    RequestId m_second;
    std::map<RequestId, std::string> m_bytes;
    std::set<RequestId> m_finished;
    std::map<RequestId, ErrorKind> m_failures;
    int m_queries = 0;
};

AnswerEnd wholeEnd(RequestId id, const std::string &text)
{
    return {id, true, text.size(), crc32c(0, text), ErrorKind::Internal};
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerTest)

BOOST_AUTO_TEST_CASE(repeatedAndOverlappingChunksAreDeliveredOnce)
{
    DispatchedRequest request;
    const RequestId id = request.first();
    request.receive(AnswerHead{id, 200, "text/plain"});
    request.receive(AnswerChunk{id, 0, "hello "});
    request.receive(AnswerChunk{id, 0, "hello "});
    request.receive(AnswerChunk{id, 3, "lo wor"});
    request.receive(AnswerChunk{id, 9, "ld"});
    request.receive(wholeEnd(id, "hello world"));
    BOOST_TEST(request.bytes(id) == "hello world");
    BOOST_TEST(request.finished(id));
}

BOOST_AUTO_TEST_CASE(chunksAfterAGapAreNotDelivered)
{
    DispatchedRequest request;
    const RequestId id = request.first();
    request.receive(AnswerChunk{id, 0, "hello "});
    request.receive(AnswerChunk{id, 8, "rld"});
    const int before = request.queries();
    request.receive(wholeEnd(id, "hello world"));
    BOOST_TEST(!request.finished(id));
    BOOST_TEST(request.queries() == before + 1);
    request.receive(AnswerChunk{id, 6, "world"});
    request.receive(wholeEnd(id, "hello world"));
    BOOST_TEST(request.finished(id));
}

BOOST_AUTO_TEST_CASE(aChecksumMismatchDoesNotFinish)
{
    DispatchedRequest request;
    const RequestId id = request.first();
    request.receive(AnswerChunk{id, 0, "hello world"});
    request.receive(wholeEnd(id, "hello wordl"));
    BOOST_TEST(!request.finished(id));
}

BOOST_AUTO_TEST_CASE(crossedAnswersReachTheirOwnCallers)
{
    DispatchedRequest request;
    const std::string one = "the answer to the first";
    const std::string two = "the answer to the second";
    for (std::size_t at = 0; at < two.size(); ++at) {
        request.receive(AnswerChunk{request.second(), at, two.substr(at, 1)});
        if (at < one.size())
            request.receive(AnswerChunk{request.first(), at, one.substr(at, 1)});
    }
    request.receive(wholeEnd(request.second(), two));
    request.receive(wholeEnd(request.first(), one));
    BOOST_TEST(request.bytes(request.first()) == one);
    BOOST_TEST(request.bytes(request.second()) == two);
}

BOOST_AUTO_TEST_CASE(answersForUnknownRequestsAreIgnored)
{
    DispatchedRequest request;
    const RequestId stranger{123, 456};
    request.receive(AnswerChunk{stranger, 0, "x"});
    request.receive(wholeEnd(stranger, "x"));
    BOOST_TEST(!request.finished(request.first()));
    BOOST_TEST(!request.finished(stranger));
}

BOOST_AUTO_TEST_CASE(anIncompleteEndIsAnError)
{
    DispatchedRequest request;
    const RequestId id = request.first();
    request.receive(AnswerHead{id, 200, "text/event-stream"});
    request.receive(AnswerChunk{id, 0, "half"});
    request.receive(AnswerEnd{id, false, 4, crc32c(0, "half"), ErrorKind::UpstreamFailed});
    BOOST_TEST(!request.finished(id));
    BOOST_TEST((request.failure(id) == ErrorKind::UpstreamFailed));
}

BOOST_AUTO_TEST_CASE(anUnacknowledgedDispatchIsQueried)
{
    DispatchedRequest request;
    request.advance(milliseconds(1200));
    BOOST_TEST(request.queries() >= 2);
}

BOOST_AUTO_TEST_CASE(thousandsOfStreamsSurviveLostConnections)
{
    HarnessOptions options;
    options.engines = {3, 3, 3, 3, 3, 3};
    options.checkAlways = false;
    options.configText = defaultConfig("ordinary", 10'000, 600'000);
    CoreHarness harness(options);
    harness.run(seconds(1));
    for (int i = 0; i < 3000; ++i)
        harness.callModel(i % 2, static_cast<TierRank>(i % 4), "ws", fmt::format("call {}", i), 20,
                          20, std::chrono::minutes(10));
    std::mt19937_64 random(3);
    for (int i = 0; i < 40; ++i)
        harness.after(milliseconds(random() % 20'000), [&harness, &random] {
            const int entry = static_cast<int>(random() % 2);
            const int gate = static_cast<int>(random() % 6);
            if (random() % 2 == 0)
                harness.cutLink(entry, gate);
            else
                harness.silenceLink(entry, gate);
        });
    harness.run(std::chrono::minutes(2));
    harness.checkAtRest();
    BOOST_TEST(harness.violations().empty());
    BOOST_TEST(std::ranges::all_of(harness.calls(), &CallRecord::whole));
}

BOOST_AUTO_TEST_SUITE_END()
