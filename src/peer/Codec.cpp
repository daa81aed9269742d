#include "peer/Codec.h"

#include "peer/generated/peer.capnp.h"

#include <algorithm>
#include <cstring>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace tamarack {

namespace {

using Builder = wire::PeerMessage::Builder;
using Reader = wire::PeerMessage::Reader;

/// Bounds what a small message can make the reader visit, such as lists of empty structs.
constexpr std::uint64_t traversalWordsPerByte = 512;
constexpr std::uint64_t traversalFloorWords = 1024;
constexpr int nestingLimit = 8;

capnp::Data::Reader dataOf(const std::string &bytes)
{
    return {reinterpret_cast<const capnp::byte *>(bytes.data()), bytes.size()};
}

/// Keeps the whole text, NUL bytes included.
capnp::Text::Reader textOf(const std::string &text)
{
    return {text.c_str(), text.size()};
}

std::string stringOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

std::string stringOf(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

void write(wire::RequestId::Builder to, RequestId id)
{
    to.setIncarnation(id.incarnation);
    to.setSequence(id.sequence);
}

RequestId read(wire::RequestId::Reader from)
{
    return {from.getIncarnation(), from.getSequence()};
}

void write(wire::EntryReport::Builder to, const EntryReport &report)
{
    to.setName(textOf(report.name));
    to.setIncarnation(report.incarnation);
    to.setGeneration(report.generation);
    auto queued = to.initQueuedByTier(report.queuedByTier.size());
    for (unsigned i = 0; i < report.queuedByTier.size(); ++i)
        queued.set(i, report.queuedByTier[i]);
    to.setInFlight(report.inFlight);
}

EntryReport read(wire::EntryReport::Reader from)
{
    EntryReport report;
    report.name = stringOf(from.getName());
    report.incarnation = from.getIncarnation();
    report.generation = from.getGeneration();
    for (const auto count : from.getQueuedByTier())
        report.queuedByTier.push_back(count);
    report.inFlight = from.getInFlight();
    return report;
}

/// Throws on values outside the enumeration, which the decoder turns into an error.
template <typename Enum>
Enum checkedEnum(std::uint8_t value, Enum last)
{
    if (value > static_cast<std::uint8_t>(last))
        throw std::out_of_range("enumerator");
    return static_cast<Enum>(value);
}

struct Writer
{
    Builder to;

    void operator()(const EntryHeartbeat &message)
    {
        auto group = to.initEntryHeartbeat();
        write(group.initReport(), message.report);
        group.setWantedLevel(message.wantedLevel);
        group.setClosedLevel(message.closedLevel);
        group.setPromisedLevel(message.promisedLevel);
        group.setUpstreamLeaving(message.upstreamLeaving);
    }

    void operator()(const GateHeartbeat &message)
    {
        auto group = to.initGateHeartbeat();
        group.setGeneration(message.generation);
        group.setEngineUp(message.engineUp);
        group.setLeaving(message.leaving);
        auto targets = group.initTargets(message.targets.size());
        for (unsigned i = 0; i < message.targets.size(); ++i)
            targets.set(i, textOf(message.targets[i]));
        group.setInFlight(message.inFlight);
        group.setLimit(message.limit);
        group.setWantedLevel(message.wantedLevel);
        group.setClosedLevel(message.closedLevel);
        group.setPromisedLevel(message.promisedLevel);
        auto entries = group.initEntries(message.entries.size());
        for (unsigned i = 0; i < message.entries.size(); ++i)
            write(entries[i], message.entries[i]);
    }

    void operator()(const Demand &message)
    {
        auto rows = to.initDemand(message.rows.size());
        for (unsigned i = 0; i < message.rows.size(); ++i) {
            const DemandRow &row = message.rows[i];
            rows[i].setTarget(textOf(row.target));
            rows[i].setTier(row.tier);
            rows[i].setWorkspace(textOf(row.workspace));
            rows[i].setCount(row.count);
            rows[i].setPromptTokens(row.promptTokens);
        }
    }

    void operator()(const Grant &message)
    {
        auto credits = to.initGrant(message.credits.size());
        for (unsigned i = 0; i < message.credits.size(); ++i) {
            const Credit &credit = message.credits[i];
            credits[i].setId(credit.id);
            credits[i].setTarget(textOf(credit.target));
            credits[i].setTier(credit.tier);
            credits[i].setWorkspace(textOf(credit.workspace));
            credits[i].setLifeMs(credit.lifeMs);
            credits[i].setBacklogMs(credit.backlogMs);
            credits[i].setMicrosPerPromptToken(credit.microsPerPromptToken);
        }
    }

    void operator()(const RecallCredits &message)
    {
        writeIds(to.initRecallCredits(message.credits.size()), message.credits);
    }

    void operator()(const ReturnCredits &message)
    {
        writeIds(to.initReturnCredits(message.credits.size()), message.credits);
    }

    static void writeIds(capnp::List<std::uint64_t>::Builder to, const std::vector<CreditId> &ids)
    {
        for (unsigned i = 0; i < ids.size(); ++i)
            to.set(i, ids[i]);
    }

    void operator()(const Dispatch &message)
    {
        auto group = to.initDispatch();
        write(group.initRequest(), message.request);
        group.setCredit(message.credit);
        group.setGate(message.gate);
        group.setTarget(textOf(message.target));
        group.setTier(message.tier);
        group.setWorkspace(textOf(message.workspace));
        group.setFingerprint(message.fingerprint);
        group.setRemainingMs(message.remainingMs);
        group.setHeldMs(message.heldMs);
        group.setPromptTokens(message.promptTokens);
        group.setAlone(message.alone);
        group.setKeyed(message.keyed);
        group.setMethod(textOf(message.body.method));
        group.setPath(textOf(message.body.path));
        group.setContentType(textOf(message.body.contentType));
        group.setBody(dataOf(message.body.body));
        group.setStream(message.body.stream);
    }

    void operator()(const Accepted &message) { write(to.initAccepted(), message.request); }

    void operator()(const Refused &message)
    {
        auto group = to.initRefused();
        write(group.initRequest(), message.request);
        group.setCredit(message.credit);
        group.setKind(static_cast<std::uint8_t>(message.kind));
    }

    void operator()(const AnswerHead &message)
    {
        auto group = to.initAnswerHead();
        write(group.initRequest(), message.request);
        group.setStatus(message.status);
        group.setContentType(textOf(message.contentType));
    }

    void operator()(const AnswerChunk &message)
    {
        auto group = to.initAnswerChunk();
        write(group.initRequest(), message.request);
        group.setOffset(message.offset);
        group.setBytes(dataOf(message.bytes));
    }

    void operator()(const AnswerEnd &message)
    {
        auto group = to.initAnswerEnd();
        write(group.initRequest(), message.request);
        group.setComplete(message.complete);
        group.setLength(message.length);
        group.setCrc(message.crc);
        group.setKind(static_cast<std::uint8_t>(message.kind));
    }

    void operator()(const AnswerAck &message)
    {
        auto group = to.initAnswerAck();
        write(group.initRequest(), message.request);
        group.setOffset(message.offset);
        group.setFinal(message.final);
    }

    void operator()(const Cancel &message) { write(to.initCancel(), message.request); }

    void operator()(const StatusQuery &message)
    {
        auto group = to.initStatusQuery();
        write(group.initRequest(), message.request);
        group.setCredit(message.credit);
        group.setGate(message.gate);
        group.setOffset(message.offset);
    }

    void operator()(const StatusReply &message)
    {
        auto group = to.initStatusReply();
        write(group.initRequest(), message.request);
        group.setFate(static_cast<std::uint8_t>(message.fate));
    }

    void operator()(const ConfigPush &message)
    {
        auto group = to.initConfigPush();
        group.setGeneration(message.generation);
        group.setText(textOf(message.text));
    }

    void operator()(const FingerprintReports &message)
    {
        auto reports = to.initFingerprintReports(message.reports.size());
        for (unsigned i = 0; i < message.reports.size(); ++i) {
            const FingerprintReport &report = message.reports[i];
            reports[i].setFingerprint(report.fingerprint);
            reports[i].setCrash(report.crash);
            reports[i].setCleared(report.cleared);
        }
    }
};

EntryHeartbeat readEntryHeartbeat(wire::PeerMessage::EntryHeartbeat::Reader from)
{
    return {read(from.getReport()), from.getWantedLevel(), from.getClosedLevel(),
            from.getPromisedLevel(), from.getUpstreamLeaving()};
}

GateHeartbeat readGateHeartbeat(wire::PeerMessage::GateHeartbeat::Reader from)
{
    GateHeartbeat message;
    message.generation = from.getGeneration();
    message.engineUp = from.getEngineUp();
    message.leaving = from.getLeaving();
    for (const auto target : from.getTargets())
        message.targets.push_back(stringOf(target));
    message.inFlight = from.getInFlight();
    message.limit = from.getLimit();
    message.wantedLevel = from.getWantedLevel();
    message.closedLevel = from.getClosedLevel();
    message.promisedLevel = from.getPromisedLevel();
    for (const auto entry : from.getEntries())
        message.entries.push_back(read(entry));
    return message;
}

Demand readDemand(capnp::List<wire::DemandRow>::Reader from)
{
    Demand message;
    for (const auto row : from)
        message.rows.push_back({stringOf(row.getTarget()), row.getTier(),
                                stringOf(row.getWorkspace()), row.getCount(),
                                row.getPromptTokens()});
    return message;
}

Grant readGrant(capnp::List<wire::Credit>::Reader from)
{
    Grant message;
    for (const auto credit : from)
        message.credits.push_back({credit.getId(), stringOf(credit.getTarget()), credit.getTier(),
                                   stringOf(credit.getWorkspace()), credit.getLifeMs(),
                                   credit.getBacklogMs(), credit.getMicrosPerPromptToken()});
    return message;
}

std::vector<CreditId> readIds(capnp::List<std::uint64_t>::Reader from)
{
    std::vector<CreditId> ids;
    for (const auto id : from)
        ids.push_back(id);
    return ids;
}

Dispatch readDispatch(wire::PeerMessage::Dispatch::Reader from)
{
    Dispatch message;
    message.request = read(from.getRequest());
    message.credit = from.getCredit();
    message.gate = from.getGate();
    message.target = stringOf(from.getTarget());
    message.tier = from.getTier();
    message.workspace = stringOf(from.getWorkspace());
    message.fingerprint = from.getFingerprint();
    message.remainingMs = from.getRemainingMs();
    message.heldMs = from.getHeldMs();
    message.promptTokens = from.getPromptTokens();
    message.alone = from.getAlone();
    message.keyed = from.getKeyed();
    message.body.method = stringOf(from.getMethod());
    message.body.path = stringOf(from.getPath());
    message.body.contentType = stringOf(from.getContentType());
    message.body.body = stringOf(from.getBody());
    message.body.stream = from.getStream();
    return message;
}

AnswerEnd readAnswerEnd(wire::PeerMessage::AnswerEnd::Reader from)
{
    return {read(from.getRequest()), from.getComplete(), from.getLength(), from.getCrc(),
            checkedEnum(from.getKind(), ErrorKind::Internal)};
}

FingerprintReports readFingerprints(capnp::List<wire::FingerprintReport>::Reader from)
{
    FingerprintReports message;
    for (const auto report : from)
        message.reports.push_back(
            {report.getFingerprint(), report.getCrash(), report.getCleared()});
    return message;
}

Result<tamarack::PeerMessage> readMessage(Reader from)
{
    switch (from.which()) {
    case wire::PeerMessage::ENTRY_HEARTBEAT:
        return readEntryHeartbeat(from.getEntryHeartbeat());
    case wire::PeerMessage::GATE_HEARTBEAT:
        return readGateHeartbeat(from.getGateHeartbeat());
    case wire::PeerMessage::DEMAND:
        return readDemand(from.getDemand());
    case wire::PeerMessage::GRANT:
        return readGrant(from.getGrant());
    case wire::PeerMessage::RETURN_CREDITS:
        return ReturnCredits{readIds(from.getReturnCredits())};
    case wire::PeerMessage::RECALL_CREDITS:
        return RecallCredits{readIds(from.getRecallCredits())};
    case wire::PeerMessage::DISPATCH:
        return readDispatch(from.getDispatch());
    case wire::PeerMessage::ACCEPTED:
        return Accepted{read(from.getAccepted())};
    case wire::PeerMessage::REFUSED: {
        const auto group = from.getRefused();
        return Refused{read(group.getRequest()), group.getCredit(),
                       checkedEnum(group.getKind(), ErrorKind::Internal)};
    }
    case wire::PeerMessage::ANSWER_HEAD: {
        const auto group = from.getAnswerHead();
        return AnswerHead{read(group.getRequest()), group.getStatus(),
                          stringOf(group.getContentType())};
    }
    case wire::PeerMessage::ANSWER_CHUNK: {
        const auto group = from.getAnswerChunk();
        return AnswerChunk{read(group.getRequest()), group.getOffset(), stringOf(group.getBytes())};
    }
    case wire::PeerMessage::ANSWER_END:
        return readAnswerEnd(from.getAnswerEnd());
    case wire::PeerMessage::ANSWER_ACK: {
        const auto group = from.getAnswerAck();
        return AnswerAck{read(group.getRequest()), group.getOffset(), group.getFinal()};
    }
    case wire::PeerMessage::CANCEL:
        return Cancel{read(from.getCancel())};
    case wire::PeerMessage::STATUS_QUERY: {
        const auto group = from.getStatusQuery();
        return StatusQuery{read(group.getRequest()), group.getCredit(), group.getGate(),
                           group.getOffset()};
    }
    case wire::PeerMessage::STATUS_REPLY: {
        const auto group = from.getStatusReply();
        return StatusReply{read(group.getRequest()),
                           checkedEnum(group.getFate(), RequestFate::Unknown)};
    }
    case wire::PeerMessage::CONFIG_PUSH: {
        const auto group = from.getConfigPush();
        return ConfigPush{group.getGeneration(), stringOf(group.getText())};
    }
    case wire::PeerMessage::FINGERPRINT_REPORTS:
        return readFingerprints(from.getFingerprintReports());
    }
    return failure(ErrorKind::BadRequest, "unknown peer message");
}

} // namespace

std::string encodePeerMessage(const tamarack::PeerMessage &message)
{
    capnp::MallocMessageBuilder builder;
    std::visit(Writer{builder.initRoot<wire::PeerMessage>()}, message);
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const auto bytes = stream.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

Result<tamarack::PeerMessage> decodePeerMessage(std::string_view bytes)
{
    try {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = traversalWordsPerByte * bytes.size() + traversalFloorWords;
        options.nestingLimit = nestingLimit;
        kj::ArrayInputStream stream(
            {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()});
        capnp::PackedMessageReader reader(stream, options);
        return readMessage(reader.getRoot<wire::PeerMessage>());
    } catch (const kj::Exception &error) {
        return failure(ErrorKind::BadRequest, error.getDescription().cStr());
    } catch (const std::exception &error) {
        return failure(ErrorKind::BadRequest, error.what());
    }
}

} // namespace tamarack
