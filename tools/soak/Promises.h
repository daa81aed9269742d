#pragma once

#include "soak/Disturbances.h"
#include "soak/StatementChecks.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack::soak {

enum class CallKind : std::uint8_t { Read, Book, Stream };

/// A request as its caller sends it.
struct SentCall
{
    std::string id;
    CallKind kind = CallKind::Read;
    std::size_t entry = 0;
    std::string key;
    /// The connection had served another request before.
    bool reusedConnection = false;
    /// The call whose stream this one resumes, after the event `resumeAfter`; empty: it is new.
    std::string resumes;
    int resumeAfter = 0;
};

/// Timeout of every route of a run.
constexpr milliseconds routeTimeout{2000};

/// What a caller got.
struct CallAnswer
{
    /// 0: the connection ended before the head.
    int status = 0;
    /// The body ended as its framing says.
    bool whole = false;
    /// The caller gave up long after the deadline.
    bool timedOut = false;
    std::string body;
    /// The system's word on whether the request ran; empty when the answer is an upstream's.
    std::string outcome;
};

/// Checks the promises to callers from what callers and upstreams see. Faults that the system
/// cannot hide are taken from the disturbances. Times are those of the soak's own process.
class Promises
{
public:
    explicit Promises(const Disturbances &disturbances);

    void sent(const SentCall &call, TimePoint now);
    /// The caller closes its connection before the answer.
    void left(const std::string &id);
    void ran(const std::string &id, std::size_t upstream, TimePoint now);
    /// An upstream got the request, and turned it away for so long.
    void arrived(const std::string &id, std::size_t upstream, TimePoint now);
    void turnedAway(const std::string &id, std::size_t upstream, Duration closedFor, TimePoint now);
    void answered(const std::string &id, const CallAnswer &answer, TimePoint now);

    /// From now on `newKey` is valid in place of `oldKey`.
    void keyChanged(const std::string &oldKey, const std::string &newKey, TimePoint now);
    /// The upstream takes no new requests, until `upstreamBack`.
    void upstreamLeaves(std::size_t upstream, TimePoint now);
    void upstreamBack(std::size_t upstream);
    void entryStops(std::size_t entry, TimePoint now);
    void entryStarts(std::size_t entry);
    /// A finding from outside this class, such as a process that ended by itself.
    void broken(const std::string &what);

    /// What upstreams say of themselves.
    StatementChecks &statements() { return m_statements; }

    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t calls() const { return m_calls.size(); }
    std::size_t served() const { return m_served; }
    /// Number of streams that clients resumed, and of those that went on.
    std::size_t resumed() const { return m_resumed; }
    std::size_t wentOn() const { return m_wentOn; }

private:
    struct Call
    {
        SentCall sent;
        TimePoint sentAt;
        bool left = false;
        bool saidNotRun = false;
        int runs = 0;
        /// Where it ran last, and since when.
        std::size_t upstream = 0;
        TimePoint ranAt;
    };

    void broken(const Call &call, const std::string &what);
    void checkWord(Call &call, const CallAnswer &answer);
    void checkBody(const Call &call, const CallAnswer &answer);
    void checkStream(const Call &call, const CallAnswer &answer);
    void checkEnd(const Call &call, const CallAnswer &answer, TimePoint now);
    void checkKey(const Call &call, const CallAnswer &answer, TimePoint now);

    const Disturbances &m_disturbances;
    StatementChecks m_statements;
    std::map<std::string, Call> m_calls;
    /// Software versions that wrote the first events of streams, by the call that brought them.
    std::map<std::string, std::string> m_streamVersions;
    std::map<std::string, TimePoint> m_validSince;
    std::map<std::string, TimePoint> m_revokedAt;
    /// By entry and key: when the entry first was seen to take it, and to refuse it after that.
    std::map<std::pair<std::size_t, std::string>, TimePoint> m_taken;
    std::map<std::pair<std::size_t, std::string>, TimePoint> m_refused;
    std::map<std::size_t, TimePoint> m_leftAt;
    std::map<std::size_t, TimePoint> m_stopsAt;
    std::vector<std::string> m_violations;
    std::size_t m_served = 0;
    std::size_t m_resumed = 0;
    std::size_t m_wentOn = 0;
};

} // namespace tamarack::soak
