// One entry host of two is restarted as planned work. The store loses its answer to the deletion of
// the host's registration and carries it out seconds later, after the new process has registered.
// Later some requesters' channels break, and they take their streams up at the other entry host.

#include "../standins/Replica.h"

#include <memory>

using namespace review;

namespace {

constexpr int replicas = 6;
constexpr int streamEvents = 20;
constexpr int pauseMs = 200;
constexpr int streams = 30;
/// Every second stream of edge-1 loses its channel after this event.
constexpr int lastEventBefore = 5;
constexpr int lateMs = 5800;
constexpr int usualEvents = 4;
constexpr unsigned stableMicroseconds = 3'000'000;

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
    std::vector<std::unique_ptr<Replica>> models;
    for (int i = 0; i < replicas; ++i) {
        models.push_back(std::make_unique<Replica>(
            "i-0000000" + std::to_string(i), "models", "v1",
            [](int file, const Message &request, const std::string &head) {
                const bool usual = request.header("Request-Id").starts_with("u-");
                return sendStream(file, request, head, usual ? usualEvents : streamEvents, pauseMs,
                                  true);
            }));
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
    usleep(1'500'000);

    // Some traffic all the while, so that the hosts write to the store as they usually do.
    std::atomic<bool> over{false};
    std::thread usual([&] {
        std::vector<std::thread> requesters;
        for (int i = 0; !over; ++i) {
            requesters.emplace_back([&, i] {
                ask(i % 4 == 0 ? second.front() : first.front(), "POST /guide/x",
                    {{"Request-Id", "u-" + std::to_string(i)}, {"Deadline-Ms", "15000"}},
                    "usual " + std::to_string(i), 16000);
            });
            usleep(1'000'000);
        }
        for (std::thread &requester : requesters)
            requester.join();
    });

    record("edge-2: SIGTERM, planned restart");
    if (hasTrouble())
        store.loseNextDelete("tamarack-entries", "edge-2", lateMs);
    second.signal(SIGTERM);
    while (!second.hasEnded())
        usleep(20'000);
    record("edge-2: ended");
    second.start();
    if (!second.waitUntilReady(8000))
        return NotRun;
    record("entry hosts in the store: %s", store.names("tamarack-entries").c_str());
    usleep(lateMs * 1000);
    usleep(2 * stableMicroseconds);
    record("entry hosts in the store: %s", store.names("tamarack-entries").c_str());

    std::vector<Stream> all(streams);
    std::vector<std::thread> requesters;
    for (int i = 0; i < streams; ++i) {
        requesters.emplace_back([&, i] {
            all[static_cast<std::size_t>(i)] =
                runStream("q-" + std::to_string(i), first.front(), second.front(), i % 2 == 0);
        });
        usleep(250'000);
    }
    for (std::thread &requester : requesters)
        requester.join();
    over = true;
    usual.join();
    record("entry hosts in the store: %s", store.names("tamarack-entries").c_str());
    const int verdict = judge(all);
    first.end();
    second.end();
    for (const auto &model : models)
        model->end();
    _exit(verdict);
}
