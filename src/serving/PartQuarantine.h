#pragma once

#include "base/RequestId.h"
#include "serving/PartCrash.h"
#include "serving/RecentAnswers.h"
#include "serving/RequestFacts.h"

#include <array>
#include <concepts>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// Identifies prompt parts that crash the upstreams that respond to them, whatever else the request
/// holds.
///
/// Load: requests with such a part arrive at any entry, no two alike. Sound requests share their
/// other parts, run next to them and end with the same upstream. Upstreams may also crash together
/// for reasons of their own. Entries learn of crashes and responses in any order, late, or not at
/// all while they are partitioned or paused.
///
/// A part is quarantined by `crashesToQuarantine` crashes after the last complete response to a
/// request with it, at any entry, unless a more suspect part was in flight in these crashes as
/// well. Evidence is only added, so that entries with the same evidence agree. A quarantine ends by
/// such a response, which a trial request can bring about, or when its evidence expires.
class PartQuarantine
{
public:
    /// Adds the crash of an upstream at which requests with these prompts were in flight.
    void addCrash(std::span<const PartCrash> crashes, TimePoint at);
    /// Adds a complete response to a request with this prompt.
    void addAnswer(std::span<const PromptPart> prompt, TimePoint at);
    void merge(std::span<const ReportedPartCrash> crashes,
               std::span<const ReportedPartAnswer> answers, Incarnation reporter, TimePoint now);

    /// Whether a request with this prompt must not be sent.
    bool isQuarantined(std::span<const PromptPart> prompt) const;
    /// Whether this request may be sent as a trial, although it has a quarantined part. At one
    /// entry for each part, trials become rarer with each of them.
    bool tryTrial(std::span<const PromptPart> prompt, TimePoint now);
    /// Selects the quarantined parts whose trials this entry decides on.
    template <std::predicate<PromptPartId> IsOwner>
    void setTrialOwner(IsOwner isOwner)
    {
        for (const PromptPartId part : m_quarantined)
            m_suspects.at(part).ownsTrials = isOwner(part);
    }

    /// The evidence that entries exchange, with the most suspect parts first.
    std::vector<ReportedPartCrash> crashes(TimePoint now) const;
    std::vector<ReportedPartAnswer> answers(TimePoint now) const;
    void removeExpired(TimePoint now);

    const std::set<PromptPartId> &quarantinedParts() const { return m_quarantined; }
    /// What decided on a quarantined part.
    struct Evidence
    {
        std::size_t crashes = 0;
        std::optional<TimePoint> answeredAt;
    };
    Evidence evidence(PromptPartId quarantinedPart) const;

    /// The parts that are evidence against a request: all but the last, which no other request has.
    static std::span<const PromptPart> sharedParts(std::span<const PromptPart> prompt);

    static constexpr std::size_t crashesToQuarantine = 3;
    static constexpr std::chrono::seconds retention{120};
    /// Crashes that a response has contradicted are kept for this long, so that others learn of the
    /// response.
    static constexpr std::chrono::seconds answeredRetention{10};
    /// Time from the last crash to a trial, and from each trial to the next. A part that has been
    /// answered before is more likely to be quarantined by mistake.
    static constexpr std::array<std::chrono::seconds, 3> trialPauses{
        std::chrono::seconds(30), std::chrono::seconds(60), std::chrono::seconds(120)};
    static constexpr std::array<std::chrono::seconds, 3> trialPausesOfAnswered{
        std::chrono::seconds(2), std::chrono::seconds(15), std::chrono::seconds(60)};
    /// Crashes within this time may have a common cause other than the part.
    static constexpr milliseconds commonCauseWindow{250};
    static constexpr std::size_t maxSharedParts = 32;
    static constexpr std::size_t maxSuspects = 1024;
    static constexpr std::size_t maxCrashesOfPart = 16;
    /// Maximum number of rows of each kind in one message.
    static constexpr std::size_t maxReported = 64;

private:
    struct Answers
    {
        TimePoint lastAt{};
        std::uint32_t count = 0;
    };
    struct Suspect
    {
        /// The last response at any entry.
        std::optional<TimePoint> answeredAt() const;
        /// No response was received after the last crash.
        bool isUnanswered() const;
        TimePoint lastCrashAt() const;

        std::map<UpstreamKey, TimePoint> crashes;
        std::uint16_t position = 0;
        std::optional<Answers> own;
        std::unordered_map<Incarnation, Answers> others;
        TimePoint lastTrialAt{};
        std::size_t trials = 0;
        bool ownsTrials = false;
    };

    // These return whether the evidence has changed in a way that may change the quarantined parts.
    bool addCrash(const PartCrash &crash, TimePoint at);
    bool addAnswer(const ReportedPartAnswer &answer, Incarnation reporter, TimePoint at);
    Suspect &suspectOf(PromptPartId part);
    /// Removes the least suspect part if there is no room for another.
    void makeRoom();
    /// Number of crashes that no response contradicts and no upstream in `explained` accounts for.
    /// Crashes with a possible common cause count once.
    static std::size_t suspicion(const Suspect &suspect, const std::set<UpstreamKey> &explained);
    /// Finds the quarantined parts anew: the most suspect part first, then the parts with enough
    /// crashes that those found before do not explain.
    void update();
    /// Parts by falling suspicion.
    std::vector<const std::pair<const PromptPartId, Suspect> *> ranked() const;

    std::unordered_map<PromptPartId, Suspect> m_suspects;
    std::set<PromptPartId> m_quarantined;
    RecentAnswers m_recentAnswers;
};

} // namespace tamarack
