#include "peer/EntryMessageCodec.h"

#include "base/Hash.h"
#include "peer/generated/peer.capnp.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace tamarack {

namespace {

/// Changes with the meaning of the messages.
constexpr std::string_view exchangeVersion = "2";
/// Bytes of the HMAC-SHA256 that a datagram carries.
constexpr std::size_t tagBytes = 16;
constexpr std::uint32_t largestSlots = 1 << 20;
/// Bounds what a datagram can make the reader visit.
constexpr std::uint64_t traversalWords = 1 << 16;
constexpr int nestingLimit = 8;

capnp::Text::Reader textOf(const std::string &text)
{
    return {text.c_str(), text.size()};
}

std::string stringOf(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

void write(wire::RolloutEvidence::Builder to, const RolloutReport &report)
{
    to.setService(textOf(report.service));
    to.setTo(textOf(report.to));
    to.setCreated(report.created);
    to.setRevision(report.revision);
    to.setVerdict(static_cast<std::uint8_t>(report.verdict));
    to.setOrderAgeMs(static_cast<std::uint32_t>(report.orderAge.count()));
    to.setHasProof(report.proofAge.has_value());
    to.setProofAgeMs(static_cast<std::uint32_t>(report.proofAge.value_or(milliseconds(0)).count()));
    to.setFailedUpstreams(report.evidence.failedUpstreams);
    to.setSlowUpstreams(report.evidence.slowUpstreams);
    const auto &tallies = report.evidence.tallies;
    auto rows = to.initTallies(tallies.size());
    for (unsigned i = 0; i < tallies.size(); ++i) {
        rows[i].setIsNew(tallies[i].isNew);
        rows[i].setRouteTier(tallies[i].routeTier);
        rows[i].setAnswers(tallies[i].answers);
        rows[i].setFailures(tallies[i].failures);
        rows[i].setSlow(tallies[i].slow);
    }
}

void writeLists(wire::EntryLoad::Builder to, const EntryLoad &load)
{
    auto rollouts = to.initRollouts(load.rollouts.size());
    for (unsigned i = 0; i < load.rollouts.size(); ++i)
        write(rollouts[i], load.rollouts[i]);
    auto loads = to.initLoads(load.loads.size());
    for (unsigned i = 0; i < load.loads.size(); ++i) {
        loads[i].setUpstream(load.loads[i].first);
        loads[i].setInFlight(load.loads[i].second.inFlight);
        loads[i].setPrefillTokens(load.loads[i].second.prefillTokens);
    }
    auto returns = to.initReturns(load.returns.size());
    for (unsigned i = 0; i < load.returns.size(); ++i) {
        const ReturnSlots &row = load.returns[i];
        returns[i].setService(textOf(row.service));
        returns[i].setRank(row.rank);
        auto counts = returns[i].initCounts(row.counts.size());
        for (unsigned j = 0; j < row.counts.size(); ++j)
            counts.set(j, row.counts[j]);
    }
    auto demand = to.initDemand(load.demand.size());
    for (unsigned i = 0; i < load.demand.size(); ++i) {
        demand[i].setService(textOf(load.demand[i].service));
        demand[i].setRank(load.demand[i].rank);
        demand[i].setWaiting(load.demand[i].waiting);
        demand[i].setRunning(load.demand[i].running);
        demand[i].setLate(load.demand[i].late);
        demand[i].setSelective(load.demand[i].selective);
        demand[i].setArrivalsPerSecond(static_cast<float>(load.demand[i].arrivalsPerSecond));
        demand[i].setStartsPerSecond(static_cast<float>(load.demand[i].startsPerSecond));
    }
    auto quotas = to.initQuotas(load.quotas.size());
    for (unsigned i = 0; i < load.quotas.size(); ++i) {
        quotas[i].setWorkspace(textOf(load.quotas[i].workspace));
        quotas[i].setSent(load.quotas[i].sent);
        quotas[i].setPending(load.quotas[i].pending);
    }
    auto crashes = to.initCrashes(load.crashes.size());
    for (unsigned i = 0; i < load.crashes.size(); ++i) {
        crashes[i].setFingerprint(load.crashes[i].row.fingerprint);
        crashes[i].setUpstream(load.crashes[i].row.upstream);
        crashes[i].setAgeMs(static_cast<std::uint32_t>(load.crashes[i].age.count()));
    }
    auto partCrashes = to.initPartCrashes(load.partCrashes.size());
    for (unsigned i = 0; i < load.partCrashes.size(); ++i) {
        const ReportedPartCrash &row = load.partCrashes[i];
        partCrashes[i].setPart(row.crash.part);
        partCrashes[i].setUpstream(row.crash.upstream);
        partCrashes[i].setPosition(row.crash.position);
        partCrashes[i].setAgeMs(static_cast<std::uint32_t>(row.age.count()));
    }
    auto partAnswers = to.initPartAnswers(load.partAnswers.size());
    for (unsigned i = 0; i < load.partAnswers.size(); ++i) {
        partAnswers[i].setPart(load.partAnswers[i].part);
        partAnswers[i].setAgeMs(static_cast<std::uint32_t>(load.partAnswers[i].age.count()));
        partAnswers[i].setCount(load.partAnswers[i].count);
    }
    auto occupancies = to.initOccupancies(load.occupancies.size());
    for (unsigned i = 0; i < load.occupancies.size(); ++i) {
        const ReportedOccupancy &row = load.occupancies[i];
        occupancies[i].setUpstream(row.upstream);
        occupancies[i].setRunning(row.stated.running);
        occupancies[i].setWaiting(row.stated.waiting);
        occupancies[i].setSlots(row.stated.slots);
        occupancies[i].setPace(static_cast<float>(row.stated.pace.value_or(0)));
        occupancies[i].setAgeMs(static_cast<std::uint32_t>(row.age.count()));
    }
    auto terms = to.initTerms(load.terms.size());
    for (unsigned i = 0; i < load.terms.size(); ++i) {
        const TermsReport &told = load.terms[i];
        terms[i].setUpstream(told.upstream);
        terms[i].setRecentSends(told.recentSends);
        terms[i].setLeaving(told.leaving);
        terms[i].setHasLimit(told.limit.has_value());
        if (!told.limit)
            continue;
        terms[i].setLimited(told.limit->perSecond.has_value());
        terms[i].setLimitPerSecond(told.limit->perSecond.value_or(0));
        terms[i].setLimitSentAgeMs(static_cast<std::uint32_t>(told.limit->sentAge.count()));
        terms[i].setLimitReadAgeMs(static_cast<std::uint32_t>(told.limit->readAge.count()));
    }
}

void write(wire::EntryMessage::Builder to, const EntryLoad &load)
{
    auto root = to.initLoad();
    root.setName(textOf(load.name));
    root.setDataCentre(textOf(load.dataCentre));
    root.setIncarnation(load.incarnation);
    root.setSequence(load.sequence);
    root.setConfigVersion(load.configVersion);
    root.setUpstreamRevision(load.upstreamPosition.revision);
    root.setUpstreamEra(load.upstreamPosition.era);
    root.setLeaving(load.leaving);
    writeLists(root, load);
}

void write(wire::EntryMessage::Builder to, const ProofRequest &ask)
{
    auto root = to.initStoreAsk();
    root.setAsker(ask.requester);
    root.setAskedAtNs(ask.requestedAt.count());
    root.setUpstreamRevision(ask.upstreamPosition.revision);
    root.setUpstreamEra(ask.upstreamPosition.era);
}

void write(wire::EntryMessage::Builder to, const ProofResponse &answer)
{
    auto root = to.initStoreAnswer();
    root.setAsker(answer.requester);
    root.setAskedAtNs(answer.requestedAt.count());
    root.setConfigVersion(answer.configVersion);
    root.setAgeMs(static_cast<std::uint32_t>(answer.age.count()));
    root.setStoreEra(answer.era);
    root.setHasUpstreams(answer.upstreams.has_value());
    if (!answer.upstreams)
        return;
    root.setUpstreamSince(answer.upstreams->since.revision);
    root.setUpstreamRevision(answer.upstreams->position.revision);
    const auto &changes = answer.upstreams->changes;
    auto rows = root.initUpstreamChanges(changes.size());
    for (unsigned i = 0; i < changes.size(); ++i) {
        const UpstreamRecord &record = changes[i].record;
        rows[i].setId(textOf(record.id));
        rows[i].setService(textOf(record.service));
        rows[i].setAddress(textOf(toString(record.endpoint)));
        rows[i].setDataCentre(textOf(record.dataCentre));
        rows[i].setSlots(static_cast<std::uint32_t>(record.slots));
        rows[i].setDraining(record.draining);
        rows[i].setBorn(record.born);
        rows[i].setRemoved(changes[i].removed);
        rows[i].setVersion(textOf(record.version));
    }
}

void write(wire::StreamOrigin::Builder to, const StreamOrigin &origin)
{
    to.setStream(origin.stream);
    to.setUpstream(textOf(origin.upstreamId));
    to.setBorn(origin.born);
    to.setVersion(textOf(origin.version));
    to.setAmbiguous(origin.ambiguous);
}

void write(wire::EntryMessage::Builder to, const StreamOrigin &origin)
{
    write(to.initStreamOrigin(), origin);
}

void write(wire::EntryMessage::Builder to, const OriginRequest &request)
{
    auto root = to.initOriginRequest();
    root.setRequester(request.requester);
    root.setStream(request.stream);
}

void write(wire::EntryMessage::Builder to, const OriginResponse &response)
{
    auto root = to.initOriginResponse();
    root.setRequester(response.requester);
    root.setStream(response.stream);
    root.setKnown(response.origin.has_value());
    if (response.origin)
        write(root.initOrigin(), *response.origin);
}

void write(wire::EntryMessage::Builder to, const GroupDigest &digest)
{
    auto root = to.initGroupDigest();
    root.setTeller(digest.teller);
    auto heard = root.initHeard(digest.heard.size());
    auto ages = root.initAgesMs(digest.heard.size());
    for (unsigned i = 0; i < digest.heard.size(); ++i) {
        heard.set(i, digest.heard[i].incarnation);
        const auto age = std::min<std::int64_t>(digest.heard[i].age.count(), UINT16_MAX);
        ages.set(i, static_cast<std::uint16_t>(age));
    }
}

Result<EntryMessage> read(wire::GroupDigest::Reader from)
{
    const auto heard = from.getHeard();
    const auto ages = from.getAgesMs();
    if (heard.size() != ages.size() || heard.size() > mostHeardEntries)
        return failure(ErrorKind::BadRequest, "malformed digest of a group");
    GroupDigest digest{from.getTeller(), {}};
    for (unsigned i = 0; i < heard.size(); ++i)
        digest.heard.push_back({heard[i], milliseconds(ages[i])});
    return digest;
}

StreamOrigin read(wire::StreamOrigin::Reader from)
{
    return {from.getStream(), stringOf(from.getUpstream()), from.getBorn(),
            stringOf(from.getVersion()), from.getAmbiguous()};
}

OriginResponse read(wire::OriginResponse::Reader from)
{
    OriginResponse response{from.getRequester(), from.getStream(), std::nullopt};
    if (from.getKnown())
        response.origin = read(from.getOrigin());
    return response;
}

/// None when it names no upstream that could be used.
std::optional<UpstreamChange> read(wire::UpstreamChange::Reader from)
{
    UpstreamChange change;
    change.removed = from.getRemoved();
    change.record.id = stringOf(from.getId());
    const auto endpoint = parseEndpoint(stringOf(from.getAddress()));
    if (change.removed)
        return change;
    if (!endpoint || from.getSlots() > largestSlots)
        return std::nullopt;
    change.record.endpoint = *endpoint;
    change.record.service = stringOf(from.getService());
    change.record.dataCentre = stringOf(from.getDataCentre());
    change.record.slots = static_cast<int>(from.getSlots());
    change.record.draining = from.getDraining();
    change.record.born = from.getBorn();
    change.record.version = stringOf(from.getVersion());
    return change;
}

Result<EntryMessage> read(wire::StoreAnswer::Reader from)
{
    ProofResponse answer{from.getAsker(),         BootTime(from.getAskedAtNs()),
                         from.getConfigVersion(), milliseconds(from.getAgeMs()),
                         from.getStoreEra(),      std::nullopt};
    if (!from.getHasUpstreams())
        return answer;
    const std::uint64_t era = answer.era;
    answer.upstreams =
        UpstreamDelta{{era, from.getUpstreamSince()}, {era, from.getUpstreamRevision()}, {}};
    for (const auto row : from.getUpstreamChanges()) {
        auto change = read(row);
        if (!change)
            return failure(ErrorKind::BadRequest, "malformed change of an upstream");
        answer.upstreams->changes.push_back(std::move(*change));
    }
    return answer;
}

/// None when its limit is no number that an upstream can name.
std::optional<TermsReport> read(wire::UpstreamTerms::Reader from)
{
    TermsReport told{from.getUpstream(), std::nullopt, from.getLeaving(), from.getRecentSends()};
    if (!from.getHasLimit())
        return told;
    const double limit = from.getLimitPerSecond();
    if (!std::isfinite(limit) || limit < 0)
        return std::nullopt;
    told.limit = LimitReport{std::nullopt, milliseconds(from.getLimitSentAgeMs()),
                             milliseconds(from.getLimitReadAgeMs())};
    if (from.getLimited())
        told.limit->perSecond = limit;
    return told;
}

/// None when it names no known verdict, or counts more bad answers than answers.
std::optional<RolloutReport> read(wire::RolloutEvidence::Reader from)
{
    if (from.getVerdict() > static_cast<std::uint8_t>(RolloutVerdict::Bad))
        return std::nullopt;
    RolloutReport report;
    report.service = stringOf(from.getService());
    report.to = stringOf(from.getTo());
    report.created = from.getCreated();
    report.revision = from.getRevision();
    report.verdict = static_cast<RolloutVerdict>(from.getVerdict());
    report.orderAge = milliseconds(from.getOrderAgeMs());
    if (from.getHasProof())
        report.proofAge = milliseconds(from.getProofAgeMs());
    report.evidence.failedUpstreams = from.getFailedUpstreams();
    report.evidence.slowUpstreams = from.getSlowUpstreams();
    for (const auto row : from.getTallies()) {
        const RolloutTally tally{row.getIsNew(), row.getRouteTier(), row.getAnswers(),
                                 row.getFailures(), row.getSlow()};
        if (tally.failures > tally.answers || tally.slow > tally.answers)
            return std::nullopt;
        report.evidence.tallies.push_back(tally);
    }
    return report;
}

/// None unless it is a load that an upstream can state.
std::optional<ReportedOccupancy> read(wire::UpstreamOccupancy::Reader from)
{
    const float pace = from.getPace();
    if (from.getSlots() == 0 || from.getSlots() > largestSlots || !std::isfinite(pace) || pace < 0)
        return std::nullopt;
    ReportedOccupancy row{from.getUpstream(),
                          {from.getRunning(), from.getWaiting(), from.getSlots(), std::nullopt},
                          milliseconds(from.getAgeMs())};
    if (pace > 0)
        row.stated.pace = pace;
    return row;
}

/// A rate per second; 0 if it is odd.
double rateOf(float value)
{
    constexpr float highest = 1e6F;
    return std::isfinite(value) && value >= 0 && value <= highest ? value : 0;
}

ReturnSlots read(wire::ReturnSlot::Reader from)
{
    ReturnSlots row{stringOf(from.getService()), from.getRank(), {}};
    const auto counts = from.getCounts();
    const auto length = std::min<unsigned>(counts.size(), ReturnBook::slotCount);
    for (unsigned i = 0; i < length; ++i)
        row.counts.push_back(counts[i]);
    return row;
}

EntryLoad read(wire::EntryLoad::Reader from)
{
    EntryLoad load;
    load.name = stringOf(from.getName());
    load.dataCentre = stringOf(from.getDataCentre());
    load.upstreamPosition = {from.getUpstreamEra(), from.getUpstreamRevision()};
    load.incarnation = from.getIncarnation();
    load.sequence = from.getSequence();
    load.configVersion = from.getConfigVersion();
    load.leaving = from.getLeaving();
    for (const auto row : from.getLoads())
        load.loads.emplace_back(row.getUpstream(),
                                UpstreamLoad{row.getInFlight(), row.getPrefillTokens()});
    for (const auto row : from.getDemand())
        load.demand.push_back({stringOf(row.getService()), row.getRank(), row.getWaiting(),
                               row.getRunning(), std::min(row.getLate(), row.getWaiting()),
                               std::min(row.getSelective(), row.getWaiting()),
                               rateOf(row.getArrivalsPerSecond()),
                               rateOf(row.getStartsPerSecond())});
    for (const auto row : from.getReturns())
        load.returns.push_back(read(row));
    for (const auto row : from.getQuotas())
        load.quotas.push_back({stringOf(row.getWorkspace()), row.getSent(), row.getPending()});
    for (const auto row : from.getCrashes())
        load.crashes.push_back(
            {{row.getFingerprint(), row.getUpstream()}, milliseconds(row.getAgeMs())});
    for (const auto row : from.getPartCrashes())
        load.partCrashes.push_back(
            {{row.getPart(), row.getUpstream(), row.getPosition()}, milliseconds(row.getAgeMs())});
    for (const auto row : from.getPartAnswers())
        load.partAnswers.push_back({row.getPart(), milliseconds(row.getAgeMs()), row.getCount()});
    for (const auto row : from.getOccupancies())
        if (const auto occupancy = read(row))
            load.occupancies.push_back(*occupancy);
    for (const auto row : from.getTerms())
        if (const auto told = read(row))
            load.terms.push_back(*told);
    for (const auto row : from.getRollouts())
        if (auto report = read(row))
            load.rollouts.push_back(std::move(*report));
    return load;
}

Result<EntryMessage> read(wire::EntryMessage::Reader from)
{
    switch (from.which()) {
    case wire::EntryMessage::LOAD:
        return read(from.getLoad());
    case wire::EntryMessage::STORE_ASK: {
        const auto ask = from.getStoreAsk();
        return ProofRequest{ask.getAsker(),
                            BootTime(ask.getAskedAtNs()),
                            {ask.getUpstreamEra(), ask.getUpstreamRevision()}};
    }
    case wire::EntryMessage::STORE_ANSWER:
        return read(from.getStoreAnswer());
    case wire::EntryMessage::STREAM_ORIGIN:
        return read(from.getStreamOrigin());
    case wire::EntryMessage::ORIGIN_REQUEST: {
        const auto request = from.getOriginRequest();
        return OriginRequest{request.getRequester(), request.getStream()};
    }
    case wire::EntryMessage::ORIGIN_RESPONSE:
        return read(from.getOriginResponse());
    case wire::EntryMessage::GROUP_DIGEST:
        return read(from.getGroupDigest());
    }
    return failure(ErrorKind::BadRequest, "unknown kind of message");
}

std::string tagOf(std::string_view bytes, std::string_view key)
{
    std::string versionedKey(key);
    versionedKey.append(exchangeVersion);
    return hmacSha256(versionedKey, bytes).substr(0, tagBytes);
}

} // namespace

std::string sealMessage(const EntryMessage &message, std::string_view key)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::EntryMessage>();
    std::visit([&root](const auto &content) { write(root, content); }, message);
    kj::VectorOutputStream output;
    capnp::writePackedMessage(output, builder);
    const auto bytes = output.getArray();
    const std::string_view text(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
    return tagOf(text, key).append(text);
}

Result<EntryMessage> openMessage(std::string_view bytes, std::string_view key)
{
    if (bytes.size() <= tagBytes)
        return failure(ErrorKind::BadRequest, "datagram is too short");
    const std::string_view content = bytes.substr(tagBytes);
    if (!equalConstantTime(bytes.substr(0, tagBytes), tagOf(content, key)))
        return failure(ErrorKind::PeerRejected, "datagram has a wrong tag");
    try {
        kj::ArrayInputStream input(
            {reinterpret_cast<const kj::byte *>(content.data()), content.size()});
        capnp::PackedMessageReader reader(input, {traversalWords, nestingLimit});
        return read(reader.getRoot<wire::EntryMessage>());
    } catch (const kj::Exception &exception) {
        return failure(ErrorKind::BadRequest, exception.getDescription().cStr());
    }
}

} // namespace tamarack
