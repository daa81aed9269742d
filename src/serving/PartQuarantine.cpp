#include "serving/PartQuarantine.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

namespace tamarack {

std::span<const PromptPart> PartQuarantine::sharedParts(std::span<const PromptPart> prompt)
{
    const std::size_t shared = prompt.empty() ? 0 : prompt.size() - 1;
    return prompt.first(std::min(shared, maxSharedParts));
}

void PartQuarantine::addCrash(std::span<const PartCrash> crashes, TimePoint at)
{
    for (const PartCrash &crash : crashes)
        addCrash(crash, at);
    update();
}

bool PartQuarantine::addCrash(const PartCrash &crash, TimePoint at)
{
    Suspect &suspect = suspectOf(crash.part);
    suspect.position = std::max(suspect.position, crash.position);
    const auto [row, isNew] = suspect.crashes.try_emplace(crash.upstream, at);
    // Another entry may have seen the crash earlier.
    const bool isEarlier = at < row->second;
    row->second = std::min(row->second, at);
    if (suspect.crashes.size() > maxCrashesOfPart)
        suspect.crashes.erase(std::ranges::min_element(
            suspect.crashes, {}, [](const auto &item) { return item.second; }));
    return isNew || isEarlier;
}

void PartQuarantine::addAnswer(std::span<const PromptPart> prompt, TimePoint at)
{
    bool changed = false;
    for (const PromptPart &part : sharedParts(prompt)) {
        m_recentAnswers.record(part.id, at);
        const auto found = m_suspects.find(part.id);
        if (found == m_suspects.end())
            continue;
        Suspect &suspect = found->second;
        changed = changed || suspect.isUnanswered();
        const Answers answers = suspect.own.value_or(Answers{});
        suspect.own = {std::max(answers.lastAt, at), answers.count + 1};
    }
    if (changed)
        update();
}

bool PartQuarantine::addAnswer(const ReportedPartAnswer &answer, Incarnation reporter, TimePoint at)
{
    const auto found = m_suspects.find(answer.part);
    if (found == m_suspects.end())
        return false;
    const bool wasUnanswered = found->second.isUnanswered();
    const auto [known, isNew] = found->second.others.try_emplace(reporter, Answers{at, 0});
    Answers &answers = known->second;
    const TimePoint before = answers.lastAt;
    // The time computed from a report is late by the time that the report took.
    answers.lastAt = answer.count == answers.count ? std::min(before, at) : at;
    answers.count = answer.count;
    const bool isCorrected = answers.lastAt < before;
    return wasUnanswered || isCorrected;
}

std::optional<TimePoint> PartQuarantine::Suspect::answeredAt() const
{
    std::optional<TimePoint> last;
    if (own)
        last = own->lastAt;
    for (const auto &[reporter, answers] : others)
        last = std::max(last.value_or(answers.lastAt), answers.lastAt);
    return last;
}

TimePoint PartQuarantine::Suspect::lastCrashAt() const
{
    return std::ranges::max(crashes | std::views::values);
}

bool PartQuarantine::Suspect::isUnanswered() const
{
    const auto last = answeredAt();
    return !last || lastCrashAt() > *last;
}

void PartQuarantine::merge(std::span<const ReportedPartCrash> crashes,
                           std::span<const ReportedPartAnswer> answers, Incarnation reporter,
                           TimePoint now)
{
    bool changed = false;
    for (const ReportedPartCrash &reported : crashes)
        if (reported.age < retention)
            changed = addCrash(reported.crash, now - reported.age) || changed;
    for (const ReportedPartAnswer &reported : answers)
        changed = addAnswer(reported, reporter, now - reported.age) || changed;
    if (changed)
        update();
}

PartQuarantine::Suspect &PartQuarantine::suspectOf(PromptPartId part)
{
    if (!m_suspects.contains(part))
        makeRoom();
    const auto [found, isNew] = m_suspects.try_emplace(part);
    if (!isNew)
        return found->second;
    if (const auto answeredAt = m_recentAnswers.last(part))
        found->second.own = Answers{*answeredAt, 1};
    return found->second;
}

void PartQuarantine::makeRoom()
{
    if (m_suspects.size() < maxSuspects)
        return;
    m_suspects.erase(std::ranges::min_element(m_suspects, {}, [&](const auto &item) {
        return std::pair(suspicion(item.second, {}), item.second.lastCrashAt());
    }));
}

std::size_t PartQuarantine::suspicion(const Suspect &suspect,
                                      const std::set<UpstreamKey> &explained)
{
    const auto answeredAt = suspect.answeredAt();
    std::vector<TimePoint> times;
    for (const auto &[upstream, at] : suspect.crashes)
        if (!explained.contains(upstream) && (!answeredAt || at > *answeredAt))
            times.push_back(at);
    std::ranges::sort(times);
    std::size_t count = 0;
    TimePoint groupStart{};
    for (const TimePoint at : times) {
        if (count > 0 && at - groupStart < commonCauseWindow)
            continue;
        groupStart = at;
        ++count;
    }
    return count;
}

void PartQuarantine::update()
{
    m_quarantined.clear();
    std::set<UpstreamKey> explained;
    while (true) {
        const std::pair<const PromptPartId, Suspect> *worst = nullptr;
        for (const auto &item : m_suspects) {
            if (m_quarantined.contains(item.first)
                || suspicion(item.second, explained) < crashesToQuarantine)
                continue;
            const auto rank = [](const auto &each) {
                return std::tuple(!each.second.answeredAt(), each.second.position,
                                  each.second.crashes.size(), each.first);
            };
            if (!worst || rank(item) > rank(*worst))
                worst = &item;
        }
        if (!worst)
            return;
        m_quarantined.insert(worst->first);
        std::ranges::copy(worst->second.crashes | std::views::keys,
                          std::inserter(explained, explained.end()));
    }
}

bool PartQuarantine::isQuarantined(std::span<const PromptPart> prompt) const
{
    return !m_quarantined.empty()
           && std::ranges::any_of(sharedParts(prompt), [this](const PromptPart &part) {
                  return m_quarantined.contains(part.id);
              });
}

bool PartQuarantine::tryTrial(std::span<const PromptPart> prompt, TimePoint now)
{
    std::vector<Suspect *> tried;
    for (const PromptPart &part : sharedParts(prompt))
        if (m_quarantined.contains(part.id))
            tried.push_back(&m_suspects.at(part.id));
    const bool isDue = std::ranges::all_of(tried, [now](const Suspect *suspect) {
        const auto &pauses = suspect->answeredAt() ? trialPausesOfAnswered : trialPauses;
        const Duration pause = pauses.at(std::min(suspect->trials, pauses.size() - 1));
        return suspect->ownsTrials
               && now - std::max(suspect->lastCrashAt(), suspect->lastTrialAt) >= pause;
    });
    if (!isDue)
        return false;
    for (Suspect *suspect : tried) {
        suspect->lastTrialAt = now;
        ++suspect->trials;
    }
    return true;
}

std::vector<const std::pair<const PromptPartId, PartQuarantine::Suspect> *>
PartQuarantine::ranked() const
{
    struct Ranked
    {
        const std::pair<const PromptPartId, Suspect> *item;
        std::tuple<bool, std::size_t, TimePoint, PromptPartId> rank;
    };
    std::vector<Ranked> order;
    order.reserve(m_suspects.size());
    for (const auto &item : m_suspects)
        order.push_back({&item,
                         {m_quarantined.contains(item.first), suspicion(item.second, {}),
                          std::ranges::max(item.second.crashes | std::views::values), item.first}});
    std::ranges::sort(order, std::greater(), &Ranked::rank);
    std::vector<const std::pair<const PromptPartId, Suspect> *> parts;
    std::ranges::transform(order, std::back_inserter(parts), &Ranked::item);
    return parts;
}

std::vector<ReportedPartCrash> PartQuarantine::crashes(TimePoint now) const
{
    std::vector<ReportedPartCrash> rows;
    for (const auto *item : ranked()) {
        const auto &[part, suspect] = *item;
        const auto answeredAt = suspect.answeredAt();
        for (const auto &[upstream, at] : suspect.crashes) {
            if (rows.size() == maxReported)
                return rows;
            if (!answeredAt || at > *answeredAt)
                rows.push_back({{part, upstream, suspect.position},
                                std::chrono::duration_cast<milliseconds>(now - at)});
        }
    }
    return rows;
}

std::vector<ReportedPartAnswer> PartQuarantine::answers(TimePoint now) const
{
    std::vector<ReportedPartAnswer> rows;
    for (const auto *item : ranked()) {
        if (rows.size() == maxReported)
            break;
        // Only what this entry received: a relayed time would grow with each relay.
        if (const auto own = item->second.own)
            rows.push_back({item->first,
                            std::chrono::duration_cast<milliseconds>(now - own->lastAt),
                            own->count});
    }
    return rows;
}

void PartQuarantine::removeExpired(TimePoint now)
{
    const auto isOld = [now](const auto &crash) { return now - crash.second >= retention; };
    std::size_t removed = 0;
    for (auto &[part, suspect] : m_suspects)
        removed += std::erase_if(suspect.crashes, isOld);
    std::erase_if(m_suspects, [now](const auto &item) {
        const Suspect &suspect = item.second;
        return suspect.crashes.empty()
               || (!suspect.isUnanswered() && now - suspect.lastCrashAt() > answeredRetention);
    });
    if (removed > 0)
        update();
}

PartQuarantine::Evidence PartQuarantine::evidence(PromptPartId quarantinedPart) const
{
    const Suspect &suspect = m_suspects.at(quarantinedPart);
    return {suspect.crashes.size(), suspect.answeredAt()};
}

} // namespace tamarack
