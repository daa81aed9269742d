#include "FuzzTarget.h"

#include "claims/ClaimShard.h"

#include <cstdlib>

using namespace tamarack;

/// A shard fed with an arbitrary log object either skips it or applies it, and goes on.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto batch = decodeClaimBatch(text);
    if (batch && decodeClaimBatch(encodeClaimBatch(*batch)) != *batch)
        std::abort();
    ClaimShard shard({});
    TimePoint now{std::chrono::seconds(1)};
    ClaimRecord record;
    record.workspace = "ws";
    record.key = "key";
    record.gateName = "up";
    record.token = 1;
    shard.submit(record, now);
    bool listed = false;
    for (int i = 0; i < 12; ++i) {
        now += milliseconds(100);
        const auto call = shard.takeCall(now);
        if (!call)
            continue;
        ClaimCallResult result{StoreStatus::Done, text, 5, {}};
        if (std::holds_alternative<claims::List>(*call) && !std::exchange(listed, true))
            result.objects.push_back({"claims/000/log/000000000000", text, 4});
        shard.callDone(result, now);
    }
    return 0;
}

std::vector<std::string> fuzzSeeds()
{
    ClaimRecord record;
    record.workspace = "ws";
    record.key = "key";
    record.request = {1, 2};
    record.gateName = "up";
    record.token = 3;
    return {encodeClaimBatch({7, {record, record}}), R"({"first":0,"snapshot":0,"pages":0})",
            R"({"first":3,"snapshot":2,"pages":1})"};
}
