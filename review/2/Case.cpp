// Three entry hosts in one zone; replicas of two software versions serve side by side. After a
// drill of the store one host misses that a replica has crashed and come back with the other
// version. It joins that replica's streams with those of the former version.

#include "../standins/Replica.h"

#include <memory>

using namespace review;

namespace {

constexpr int streamEvents = 10;
constexpr int pauseMs = 100;
constexpr int usualPerSecond = 15;
constexpr int judgedStreams = 16;
constexpr unsigned drillMicroseconds = 500'000;

const char *const manifest = R"({"version": 3, "routes": [
    {"name": "guide", "host": "small.example", "pathPrefix": "/guide/", "kind": "streaming",
     "timeoutMs": 15000, "targetLatencyMs": 1000, "priority": 2, "service": "models",
     "maxAttempts": 2, "public": true, "sticky": true, "resumeStreams": true, "gapAimMs": 400}],
  "services": [{"name": "models", "healthCheck": "/healthz", "maxConnections": 360,
     "engine": {"slots": 6, "kvTokens": 358550, "stride": 4}}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
     "idleTimeoutMs": 15000}, "tenants": []})";

void sleepSeconds(double seconds)
{
    usleep(static_cast<useconds_t>(seconds * 1e6));
}

Outcome askStream(const Entry &entry, const std::string &id)
{
    return ask(entry.front(), "POST /guide/x",
               {{"Request-Id", id}, {"Deadline-Ms", "15000"}, {"Model", "m"}}, "body " + id, 16000);
}

bool isJoined(const Outcome &outcome)
{
    return outcome.body.find("data: v1 ") != std::string::npos
           && outcome.body.find("data: v2 ") != std::string::npos;
}

} // namespace

int main(int, char **arguments)
{
    const std::string folder = arguments[1];
    openRecord(arguments[2]);
    const auto handlerOf = [](const std::string &version) -> Replica::Handler {
        return [version](int file, const Message &request, const std::string &head) {
            return sendStream(file, request, head, streamEvents, pauseMs, true, version);
        };
    };
    std::vector<std::unique_ptr<Replica>> models;
    for (const auto &[id, version] :
         std::vector<std::pair<std::string, std::string>>{{"i-0000000a", "v1"},
                                                          {"i-0000000b", "v1"},
                                                          {"i-0000000c", "v1"},
                                                          {"i-0000000d", "v2"}})
        models.push_back(std::make_unique<Replica>(id, "models", version, handlerOf(version)));
    for (const auto &model : models)
        model->start();
    Replica &upgraded = *models[2];

    Store store;
    std::vector<std::unique_ptr<Entry>> entries;
    for (const char *name : {"edge-1", "edge-2", "edge-3"})
        entries.push_back(std::make_unique<Entry>(name, "z1", store.port(), folder));
    const auto writeAll = [&] {
        store.put("config", "main", json::parse(manifest));
        for (const auto &model : models)
            store.put("servers", model->id(), model->entry());
    };
    writeAll();
    for (const auto &entry : entries)
        entry->start();
    for (const auto &entry : entries)
        if (!entry->waitUntilReady(8000))
            return NotRun;
    sleepSeconds(2);

    std::atomic<bool> over{false};
    std::atomic<int> joinedUsual{0};
    std::thread usual([&] {
        std::vector<std::thread> requesters;
        for (int i = 0; !over; ++i) {
            requesters.emplace_back([&, i] {
                joinedUsual += isJoined(askStream(*entries[i % 3], "u-" + std::to_string(i)));
            });
            usleep(1'000'000 / usualPerSecond);
        }
        for (std::thread &requester : requesters)
            requester.join();
    });

    sleepSeconds(2);
    store.copy();
    record("store: keeps a copy at revision %lu", static_cast<unsigned long>(store.revision()));
    sleepSeconds(8);
    if (hasTrouble()) {
        record("store: away at revision %lu", static_cast<unsigned long>(store.revision()));
        store.goAway();
        usleep(drillMicroseconds);
        store.restore(writeAll);
        record("store: back from the copy, revision %lu",
               static_cast<unsigned long>(store.revision()));
    }
    sleepSeconds(1.5);
    upgraded.end();
    record("%s: crashed", upgraded.id().c_str());
    sleepSeconds(2);
    upgraded.setHandler(handlerOf("v2"));
    upgraded.startAgain("v2");
    store.put("servers", upgraded.id(), upgraded.entry());
    record("%s: back with version v2, registered at revision %lu", upgraded.id().c_str(),
           static_cast<unsigned long>(store.revision()));
    sleepSeconds(25);

    std::vector<Outcome> outcomes(judgedStreams);
    std::vector<std::thread> requesters;
    for (int i = 0; i < judgedStreams; ++i) {
        requesters.emplace_back([&, i] {
            outcomes[static_cast<std::size_t>(i)] =
                askStream(*entries[0], "q-" + std::to_string(i));
        });
        usleep(20'000);
    }
    sleepSeconds(0.3);
    upgraded.end();
    record("%s: crashed", upgraded.id().c_str());
    for (std::thread &requester : requesters)
        requester.join();
    over = true;
    usual.join();
    int joined = joinedUsual;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        joined += isJoined(outcomes[i]);
        record("q-%zu: status %d, %d events%s", i, outcomes[i].status, outcomes[i].events,
               isJoined(outcomes[i]) ? " of two versions" : "");
    }
    record("streams with events of two versions in one answer: %d", joined);
    printf("streams with events of two versions in one answer: %d\n", joined);
    for (const auto &entry : entries)
        entry->end();
    for (const auto &model : models)
        model->end();
    _exit(joined > 2 ? Broken : Held);
}
