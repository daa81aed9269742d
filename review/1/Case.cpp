// Two replicas stream answers that end with their channel. One gets the notice of a reclaim and is
// gone 2 s later, with streams in flight.

#include "../standins/Replica.h"

using namespace review;

namespace {

constexpr int streamEvents = 12;
constexpr int pauseMs = 400;
constexpr int streams = 16;
constexpr milliseconds betweenStreams{450};
constexpr milliseconds noticeAt{2600};
constexpr milliseconds goneAfterNotice{2000};

const char *const manifest = R"({"version": 3, "routes": [
    {"name": "guide", "host": "small.example", "pathPrefix": "/guide/", "kind": "streaming",
     "timeoutMs": 15000, "targetLatencyMs": 1000, "priority": 2, "service": "models",
     "maxAttempts": 2, "public": true, "sticky": true, "resumeStreams": true, "gapAimMs": 600}],
  "services": [{"name": "models", "healthCheck": "/healthz", "maxConnections": 360,
     "engine": {"slots": 6, "kvTokens": 358550, "stride": 4}}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
     "idleTimeoutMs": 15000}, "tenants": []})";

int judge(const std::vector<Outcome> &outcomes)
{
    int whole = 0;
    int cut = 0;
    int falseEnds = 0;
    for (const Outcome &outcome : outcomes) {
        const bool ended = outcome.status == 200 && outcome.complete;
        whole += ended && outcome.lastEvent == streamEvents && outcome.events == streamEvents;
        cut += outcome.status == 200 && !outcome.complete;
        falseEnds += ended && outcome.lastEvent < streamEvents;
    }
    record("streams: %zu, whole %d, cut without an end %d, ended as complete before the last piece "
           "%d",
           outcomes.size(), whole, cut, falseEnds);
    printf("ended as complete before the last piece: %d of %zu\n", falseEnds, outcomes.size());
    return falseEnds > 0 ? Broken : Held;
}

} // namespace

int main(int, char **arguments)
{
    const std::string folder = arguments[1];
    openRecord(arguments[2]);
    const auto stream = [](int file, const Message &request, const std::string &head) {
        return sendStream(file, request, head, streamEvents, pauseMs, false);
    };
    Replica first("i-0000000a", "models", "v1", stream);
    Replica second("i-0000000b", "models", "v1", stream);
    first.start();
    second.start();

    Store store;
    Entry entries[] = {{"edge-1", "z1", store.port(), folder},
                       {"edge-2", "z1", store.port(), folder}};
    for (Entry &entry : entries)
        entry.start();
    store.put("config", "main", json::parse(manifest));
    for (const Replica *replica : {&first, &second})
        store.put("servers", replica->id(), replica->entry());
    for (Entry &entry : entries)
        if (!entry.waitUntilReady(8000))
            return NotRun;
    usleep(1'000'000);

    std::vector<Outcome> outcomes(streams);
    std::vector<std::thread> requesters;
    const auto begin = Clock::now();
    std::thread reclaim([&] {
        if (!hasTrouble())
            return;
        std::this_thread::sleep_until(begin + noticeAt);
        store.put("servers", first.id(), first.entry("draining"));
        first.signal(SIGUSR1);
        record("%s: notice, draining in the store", first.id().c_str());
        std::this_thread::sleep_until(begin + noticeAt + goneAfterNotice);
        first.end();
        record("%s: gone", first.id().c_str());
    });
    for (int i = 0; i < streams; ++i) {
        std::this_thread::sleep_until(begin + i * betweenStreams);
        requesters.emplace_back([&, i] {
            const std::string id = "q-" + std::to_string(i);
            Outcome &outcome = outcomes[static_cast<std::size_t>(i)];
            outcome = ask(entries[i % 2].front(), "POST /guide/x",
                          {{"Request-Id", id}, {"Deadline-Ms", "15000"}, {"Model", "m"}},
                          "body " + id, 16000);
            record("%s: status %d, %d events, last %d, %s", id.c_str(), outcome.status,
                   outcome.events, outcome.lastEvent,
                   outcome.complete ? "ended as complete" : "no end");
        });
    }
    for (std::thread &requester : requesters)
        requester.join();
    reclaim.join();
    const int verdict = judge(outcomes);
    for (Entry &entry : entries)
        entry.end();
    first.end();
    second.end();
    _exit(verdict);
}
