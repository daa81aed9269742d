// All entries are killed at once and are back a second later. Clients take their streams up again,
// naming the attempt that brought the first event; most are refused, as nothing was kept of them.

#include "../standins-2/Model.h"

namespace {

using namespace lab;

constexpr int streams = 48;
constexpr int newStreams = 24;
constexpr int replicaCount = 12;
constexpr Model::Pace pace{60, milliseconds(100)};
constexpr int pieces = 70;
constexpr milliseconds deadline{15'000};
constexpr milliseconds betweenStarts{25};
constexpr milliseconds downFor{1000};
/// `stableMs`, and time for the start of the processes.
constexpr milliseconds untilInTouch{4500};
constexpr int triesOfClient = 3;
/// The rule judges so many streams or more.
constexpr int leastTakenUp = 12;

struct Outcome
{
    int status = 0;
    bool whole = false;
};

/// A stream as its client sees it, over all its attempts.
struct Stream
{
    std::string firstId;
    std::string lastId;
    std::string body;
    Clock::time_point sentAt;
    std::atomic<int> lastEvent{0};
    std::atomic<bool> leaves{false};
    bool wentOn = false;
    bool whole = false;
    std::string lastAnswer;
    std::thread client;
};

/// Reads events until the channel ends, the stream is whole, or the client leaves.
Outcome readEvents(const Socket &socket, std::atomic<int> &lastEvent,
                   const std::atomic<bool> &leaves, std::string &retryAfter)
{
    const timeval limit{2, 0};
    ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    Reader reader(socket.get());
    Outcome outcome;
    const auto first = reader.line();
    const auto headers = first ? reader.headers() : std::nullopt;
    if (!headers)
        return outcome;
    outcome.status = std::atoi(first->substr(first->find(' ') + 1).c_str());
    retryAfter = header(*headers, "Retry-After");
    if (outcome.status != 200)
        return outcome;
    std::string text;
    while (!leaves) {
        const auto size = reader.line();
        const std::size_t bytes = size ? std::stoul(*size, nullptr, 16) : 0;
        const auto chunk = size ? reader.take(bytes + 2) : std::nullopt;
        if (!chunk)
            return outcome;
        if (bytes == 0) {
            outcome.whole = true;
            return outcome;
        }
        text += chunk->substr(0, bytes);
        for (auto end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n")) {
            lastEvent = std::atoi(text.c_str() + std::string_view("id: ").size());
            text.erase(0, end + 2);
        }
    }
    return outcome;
}

std::string fields(const std::string &extra)
{
    return "Api-Key: key-one\r\nModel: m\r\nToken-Usage: 100,"
           + std::to_string(pieces * tokensPerPiece)
           + "\r\nPrompt-Prefix: 5c1e07a2:60,91bd3f06:40\r\n" + extra;
}

std::string textOf(const std::string &id, milliseconds timeLeft, const std::string &extra,
                   const std::string &body)
{
    std::string text = requestText("POST", "/guide/now", id, fields(extra), body);
    const std::string usual = "Deadline-Ms: 3000";
    text.replace(text.find(usual), usual.size(),
                 "Deadline-Ms: " + std::to_string(timeLeft.count()));
    return text;
}

void begin(Record &record, Stream &stream, unsigned short port)
{
    const Socket socket = connectTo(port);
    socket.send(textOf(stream.firstId, deadline, "", stream.body));
    std::string retryAfter;
    const Outcome outcome = readEvents(socket, stream.lastEvent, stream.leaves, retryAfter);
    record.line("stream " + stream.firstId + " has ended for its client: status "
                + std::to_string(outcome.status) + ", last event "
                + std::to_string(stream.lastEvent) + (outcome.whole ? ", whole" : ", not whole"));
}

/// Takes the stream up at an entry, with the retries of a sound client.
void takeUp(Record &record, Stream &stream, unsigned short port)
{
    for (int i = 1; i <= triesOfClient && !stream.wentOn; ++i) {
        stream.lastId = stream.firstId + "-again-" + std::to_string(i);
        const int before = stream.lastEvent;
        const auto used = std::chrono::duration_cast<milliseconds>(Clock::now() - stream.sentAt);
        const Socket socket = connectTo(port);
        const std::string extra =
            "Last-Event-Id: " + std::to_string(before) + "\r\nResumes: " + stream.firstId + "\r\n";
        record.line("client takes " + stream.firstId + " up after event " + std::to_string(before)
                    + ", id=" + stream.lastId);
        socket.send(textOf(stream.lastId, deadline - used, extra, stream.body));
        std::string retryAfter;
        std::atomic<bool> stays{false};
        const Outcome outcome = readEvents(socket, stream.lastEvent, stays, retryAfter);
        stream.wentOn = outcome.status == 200 && stream.lastEvent > before;
        stream.whole = outcome.whole;
        stream.lastAnswer = std::to_string(outcome.status);
        record.line("client gets " + std::to_string(outcome.status) + " for id=" + stream.lastId
                    + (stream.wentOn ? ", the stream goes on" : ", retry after " + retryAfter));
        const bool mayRetry = !stream.wentOn && !retryAfter.empty();
        if (!mayRetry)
            return;
        pause(milliseconds(static_cast<int>(std::atof(retryAfter.c_str()) * 1000)));
    }
}

using Entries = std::vector<std::unique_ptr<Entry>>;
using Streams = std::vector<std::unique_ptr<Stream>>;

Streams startStreams(Record &record, const Entries &entries, const std::string &prefix, int count)
{
    Streams all;
    for (int i = 0; i < count; ++i) {
        all.push_back(std::make_unique<Stream>());
        Stream &stream = *all.back();
        stream.firstId = prefix + std::to_string(i + 1);
        stream.body = "question " + stream.firstId;
        stream.sentAt = Clock::now();
        const unsigned short port = entries[static_cast<std::size_t>(i) % entries.size()]->port();
        record.line("client sends POST /guide/now id=" + stream.firstId);
        stream.client = std::thread([&record, &stream, port] { begin(record, stream, port); });
        pause(betweenStarts);
    }
    return all;
}

int play(Record &record, const std::string &folder)
{
    const std::vector<std::string> zones{"bp-north", "bp-south", "godollo"};
    auto &store = *new Store();
    store.write("config", "main", streamingManifest(deadline));
    auto &models = *new std::vector<std::unique_ptr<Model>>();
    for (int i = 0; i < replicaCount; ++i) {
        models.push_back(std::make_unique<Model>("i-" + std::to_string(i + 1), pace, record));
        store.write("servers", models.back()->id(),
                    models.back()->entry(zones[static_cast<std::size_t>(i) % zones.size()]));
    }
    Entries entries;
    for (const std::string &zone : {zones[0], zones[0], zones[1], zones[2]})
        entries.push_back(std::make_unique<Entry>(
            folder, "edge-" + std::to_string(entries.size() + 1), zone, store.port()));
    for (const auto &entry : entries)
        entry->waitUntilReady();
    pause(milliseconds(4000));
    Streams interrupted = startStreams(record, entries, "s-", streams);
    pause(milliseconds(500));
    if (hasTrouble()) {
        record.line("all entries are killed");
        for (const auto &entry : entries)
            entry->kill();
        pause(downFor);
        for (const auto &entry : entries)
            entry->restart();
        record.line("all entries are started again");
        for (const auto &entry : entries)
            entry->waitUntilReady();
    } else {
        record.line("the clients leave their streams by themselves");
        for (const auto &stream : interrupted)
            stream->leaves = true;
    }
    pause(untilInTouch);
    for (const auto &stream : interrupted)
        stream->client.join();
    int takenUp = 0;
    for (std::size_t i = 0; i < interrupted.size(); ++i) {
        Stream &stream = *interrupted[i];
        if (stream.lastEvent == 0)
            continue;
        ++takenUp;
        const unsigned short port = entries[(i + 1) % entries.size()]->port();
        stream.client = std::thread([&record, &stream, port] { takeUp(record, stream, port); });
    }
    for (const auto &stream : interrupted)
        if (stream->client.joinable())
            stream->client.join();
    Streams fresh = startStreams(record, entries, "new-", newStreams);
    int began = 0;
    for (const auto &stream : fresh) {
        stream->client.join();
        began += stream->lastEvent > 0 ? 1 : 0;
    }
    int wentOn = 0;
    for (const auto &stream : interrupted)
        wentOn += stream->wentOn ? 1 : 0;
    record.result("of " + std::to_string(takenUp) + " streams that clients took up again "
                  + std::to_string(wentOn) + " went on; of " + std::to_string(newStreams)
                  + " new ones " + std::to_string(began) + " began");
    entries.clear();
    if (takenUp < leastTakenUp || began == 0)
        giveUp("too few streams");
    const bool isBroken = 2.0 * wentOn / takenUp < static_cast<double>(began) / newStreams;
    if (isBroken)
        record.result("LOST is broken");
    return isBroken ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return lab::runCase(argc, argv, play);
}
