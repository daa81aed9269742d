#include "soak/Promises.h"

#include "model/UpstreamServer.h"
#include "soak/StreamEvents.h"

#include <algorithm>
#include <array>

namespace tamarack::soak {

namespace {

/// The bounds of the platform's contract: `revokeMs`, `configApplyMs`, `catchUpS`.
constexpr milliseconds revokeBound{4000};
constexpr milliseconds applyBound{3000};
constexpr milliseconds catchUp{6000};
/// A stopping entry takes new connections until the balancer has noticed.
constexpr milliseconds balancerNotice{2600};

constexpr int okStatus = 200;
constexpr int unauthorizedStatus = 401;
constexpr int notFoundStatus = 404;

bool isPromise(const CallAnswer &answer)
{
    constexpr std::array promises{408, 421, 429, 503};
    return answer.outcome == "not-run"
           || std::ranges::find(promises, answer.status) != promises.end();
}

std::string describe(const SentCall &call)
{
    constexpr std::array kinds{"read", "book", "stream"};
    return call.id + " (" + kinds.at(static_cast<std::size_t>(call.kind)) + ", entry "
           + std::to_string(call.entry) + ", key " + call.key + ")";
}

} // namespace

Promises::Promises(const Disturbances &disturbances)
    : m_disturbances(disturbances)
    , m_statements(disturbances)
{}

void Promises::broken(const std::string &what)
{
    m_violations.push_back(what);
}

void Promises::broken(const Call &call, const std::string &what)
{
    broken(describe(call.sent) + ": " + what);
}

void Promises::sent(const SentCall &call, TimePoint now)
{
    Call &entry = m_calls[call.id];
    entry = Call{};
    entry.sent = call;
    entry.sentAt = now;
}

void Promises::left(const std::string &id)
{
    m_calls.at(id).left = true;
}

void Promises::ran(const std::string &id, std::size_t upstream, TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return broken(id + ": nobody asked for it, but it ran");
    Call &call = found->second;
    ++call.runs;
    call.upstream = upstream;
    call.ranAt = now;
    if (call.sent.kind == CallKind::Book && call.runs > 1)
        broken(call, "a booking ran twice");
    if (call.saidNotRun)
        broken(call, "ran after its caller was told that it had not");
    const auto revoked = m_revokedAt.find(call.sent.key);
    if (revoked != m_revokedAt.end() && call.sentAt > revoked->second + revokeBound)
        broken(call, "ran with a key that was revoked longer ago than the bound");
    const auto leaves = m_leftAt.find(upstream);
    if (leaves != m_leftAt.end() && call.sentAt > leaves->second + applyBound
        && m_disturbances.inTouch(call.sent.entry, leaves->second, now, catchUp))
        broken(call, "sent to upstream " + std::to_string(upstream) + ", which is leaving");
}

void Promises::arrived(const std::string &id, std::size_t upstream, TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Call &call = found->second;
    if (const auto finding = m_statements.arrived(upstream, call.sent.entry, call.sentAt, now))
        broken(call, *finding);
}

void Promises::turnedAway(const std::string &id, std::size_t upstream, Duration closedFor,
                          TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found != m_calls.end())
        m_statements.turnedAway(upstream, found->second.sent.entry, closedFor, now);
}

void Promises::answered(const std::string &id, const CallAnswer &answer, TimePoint now)
{
    Call &call = m_calls.at(id);
    checkWord(call, answer);
    if (!call.sent.resumes.empty())
        ++m_resumed;
    checkBody(call, answer);
    checkKey(call, answer, now);
    if (answer.status == okStatus && call.runs > 0)
        m_statements.passedOn(call.upstream, call.sent.entry, call.ranAt, now);
    if (!call.left && !answer.whole)
        checkEnd(call, answer, now);
    m_served += answer.whole && answer.status == okStatus ? 1 : 0;
}

void Promises::checkWord(Call &call, const CallAnswer &answer)
{
    if (answer.status == 0 || !isPromise(answer))
        return;
    call.saidNotRun = true;
    if (call.runs > 0)
        broken(call,
               "answered " + std::to_string(answer.status) + " " + answer.outcome + ", but it ran");
}

void Promises::checkBody(const Call &call, const CallAnswer &answer)
{
    if (answer.status != okStatus)
        return;
    const std::string &id = call.sent.id;
    if (call.sent.kind == CallKind::Stream)
        checkStream(call, answer);
    else if (answer.whole && !answer.body.ends_with(" body of " + id))
        broken(call, "got a wrong answer: " + answer.body);
}

void Promises::checkStream(const Call &call, const CallAnswer &answer)
{
    const SentCall &sent = call.sent;
    const StreamEvents events = readStreamEvents(answer.body, sent.id, sent.resumeAfter);
    const bool complete = events.last == standin::UpstreamServer::streamEvents && !events.partial;
    if (!events.sound || (answer.whole && !complete))
        return broken(call, "got a wrong answer: " + answer.body);
    m_wentOn += sent.resumes.empty() ? 0 : 1;
    if (events.last == sent.resumeAfter)
        return;
    const std::string &root = sent.resumes.empty() ? sent.id : sent.resumes;
    const auto [known, isNew] = m_streamVersions.try_emplace(root, events.version);
    if (!isNew && known->second != events.version)
        broken(call, "began at version " + known->second + " and went on at " + events.version);
}

void Promises::checkEnd(const Call &call, const CallAnswer &answer, TimePoint now)
{
    const std::size_t entry = call.sent.entry;
    if (m_disturbances.touched(Scope::Process, entry, call.sentAt, now))
        return;
    if (answer.timedOut)
        return broken(call, "no answer long after its deadline");
    if (answer.status == okStatus) {
        // The route's timeout ends an answer, whoever was slow.
        const bool excused =
            now - call.sentAt >= routeTimeout
            || m_disturbances.touched(Scope::Upstream, std::nullopt, call.sentAt, now);
        return excused ? void() : broken(call, "its answer was cut");
    }
    const auto stops = m_stopsAt.find(entry);
    const bool closing =
        stops != m_stopsAt.end() && now > stops->second + balancerNotice && call.runs == 0;
    const bool raced = call.sent.reusedConnection && call.runs == 0;
    if (!closing && !raced)
        broken(call, "its connection was closed without an answer");
}

void Promises::checkKey(const Call &call, const CallAnswer &answer, TimePoint now)
{
    const std::pair place{call.sent.entry, call.sent.key};
    if (answer.status == notFoundStatus)
        return broken(call, "its route was not found");
    if (answer.status == okStatus) {
        const auto refused = m_refused.find(place);
        if (refused != m_refused.end() && call.sentAt > refused->second
            && m_revokedAt.contains(call.sent.key))
            broken(call, "its key works again after it was refused");
        m_taken.try_emplace(place, now);
    }
    if (answer.status != unauthorizedStatus)
        return;
    const auto taken = m_taken.find(place);
    const bool takenBefore = taken != m_taken.end() && call.sentAt > taken->second;
    if (m_revokedAt.contains(call.sent.key)) {
        if (takenBefore)
            m_refused.try_emplace(place, now);
        return;
    }
    const auto valid = m_validSince.find(call.sent.key);
    if (valid == m_validSince.end())
        return broken(call, "a key that always was valid was refused");
    if (takenBefore)
        broken(call, "a new key was refused after it had worked");
    if (call.sentAt > valid->second + applyBound
        && m_disturbances.inTouch(call.sent.entry, valid->second, call.sentAt, catchUp))
        broken(call, "a new key does not work in time");
}

void Promises::keyChanged(const std::string &oldKey, const std::string &newKey, TimePoint now)
{
    m_revokedAt[oldKey] = now;
    m_validSince[newKey] = now;
}

void Promises::upstreamLeaves(std::size_t upstream, TimePoint now)
{
    m_leftAt[upstream] = now;
}

void Promises::upstreamBack(std::size_t upstream)
{
    m_leftAt.erase(upstream);
}

void Promises::entryStops(std::size_t entry, TimePoint now)
{
    m_stopsAt[entry] = now;
}

void Promises::entryStarts(std::size_t entry)
{
    m_stopsAt.erase(entry);
}

} // namespace tamarack::soak
