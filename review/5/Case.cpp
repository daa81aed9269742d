// Replicas close idle channels after 0.4 s, which has no whole seconds to state in `Keep-Alive`.
// Some requesters' channels break, and they take their streams up at the other entry host.

#include "../standins/Replica.h"

#include <memory>
#include <random>

using namespace review;

namespace {

constexpr int replicas = 4;
constexpr int streamEvents = 10;
constexpr int pauseMs = 30;
constexpr int streams = 240;
/// Requesters arrive independently of each other.
constexpr double streamsPerSecond = 10;
/// The channels of every fifth stream at edge-1 break after this event.
constexpr int lastEventBefore = 3;
constexpr int idleMs = 400;
constexpr int statedIdleSeconds = 5;

const char *const manifest = R"({"version": 3, "routes": [
    {"name": "guide", "host": "small.example", "pathPrefix": "/guide/", "kind": "streaming",
     "timeoutMs": 15000, "targetLatencyMs": 1000, "priority": 2, "service": "models",
     "maxAttempts": 2, "public": true, "sticky": true, "resumeStreams": true, "gapAimMs": 400}],
  "services": [{"name": "models", "healthCheck": "/healthz", "maxConnections": 360,
     "engine": {"slots": 6, "kvTokens": 358550, "stride": 4}}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
     "idleTimeoutMs": 15000}, "tenants": []})";

struct Stream
{
    Outcome begun;
    /// The take-up at the other host; none if the channel held.
    std::optional<Outcome> takenUp;
};

Stream runStream(const std::string &id, unsigned short front, unsigned short other, bool breaks)
{
    const std::string body = "body " + id;
    Stream stream;
    stream.begun =
        ask(front, "POST /guide/x", {{"Request-Id", id}, {"Deadline-Ms", "15000"}, {"Model", "m"}},
            body, 16000, breaks ? lastEventBefore : 0);
    record("%s: status %d, last event %d, %s", id.c_str(), stream.begun.status,
           stream.begun.lastEvent, stream.begun.complete ? "complete" : "channel broken");
    if (!breaks || stream.begun.lastEvent == 0)
        return stream;
    const std::string last = std::to_string(stream.begun.lastEvent);
    stream.takenUp = ask(other, "POST /guide/x",
                         {{"Request-Id", id + "-again"},
                          {"Resumes", id},
                          {"Last-Event-Id", last},
                          {"Deadline-Ms", "13000"},
                          {"Model", "m"}},
                         body, 14000);
    record("%s-again: resumes after %s at the other host: status %d, %d events, last %d",
           id.c_str(), last.c_str(), stream.takenUp->status, stream.takenUp->events,
           stream.takenUp->lastEvent);
    return stream;
}

/// LOST: of 12 or more streams taken up, the share that goes on is under half of the share of new
/// streams that begin.
int judge(const std::vector<Stream> &all)
{
    int begun = 0;
    int takenUp = 0;
    int goneOn = 0;
    for (const Stream &stream : all) {
        begun += stream.begun.events > 0;
        takenUp += stream.takenUp.has_value();
        goneOn += stream.takenUp && stream.takenUp->events > 0;
    }
    record("new streams %zu, begun %d; taken up %d, gone on %d", all.size(), begun, takenUp,
           goneOn);
    printf("new streams %zu, begun %d; taken up %d, gone on %d\n", all.size(), begun, takenUp,
           goneOn);
    if (takenUp < 12 || begun == 0)
        return NotRun;
    const double shareBegun = static_cast<double>(begun) / static_cast<double>(all.size());
    return static_cast<double>(goneOn) / takenUp < shareBegun / 2 ? Broken : Held;
}

} // namespace

int main(int, char **arguments)
{
    const std::string folder = arguments[1];
    openRecord(arguments[2]);
    const bool trouble = hasTrouble();
    std::vector<std::unique_ptr<Replica>> models;
    for (int i = 0; i < replicas; ++i) {
        models.push_back(std::make_unique<Replica>(
            "i-0000000" + std::to_string(i), "models", "v1",
            [trouble](int file, const Message &request, const std::string &head) {
                const std::string stated =
                    trouble ? ""
                            : "Keep-Alive: timeout=" + std::to_string(statedIdleSeconds) + "\r\n";
                return sendStream(file, request, head + stated, streamEvents, pauseMs, true);
            }));
        models.back()->closeIdleAfter(trouble ? idleMs : statedIdleSeconds * 1000);
        models.back()->start();
    }

    Store store;
    Entry first("edge-1", "z1", store.port(), folder);
    Entry second("edge-2", "z1", store.port(), folder);
    store.put("config", "main", json::parse(manifest));
    for (const auto &model : models)
        store.put("servers", model->id(), model->entry());
    first.start();
    second.start();
    if (!first.waitUntilReady(8000) || !second.waitUntilReady(8000))
        return NotRun;
    usleep(4'000'000);

    std::vector<Stream> all(streams);
    std::vector<std::thread> requesters;
    std::mt19937 random(1);
    std::exponential_distribution<double> pause(streamsPerSecond);
    for (int i = 0; i < streams; ++i) {
        const Entry &own = i % 2 == 0 ? first : second;
        const Entry &other = i % 2 == 0 ? second : first;
        requesters.emplace_back([&, i] {
            all[static_cast<std::size_t>(i)] =
                runStream("q-" + std::to_string(i), own.front(), other.front(), i % 10 == 0);
        });
        std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
    }
    for (std::thread &requester : requesters)
        requester.join();
    const int verdict = judge(all);
    first.end();
    second.end();
    for (const auto &model : models)
        model->end();
    _exit(verdict);
}
