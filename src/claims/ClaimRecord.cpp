#include "claims/ClaimRecord.h"

#include "base/Hash.h"
#include "config/JsonObjectReader.h"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarack {

namespace json = boost::json;

namespace {

std::uint64_t readHex(JsonObjectReader &reader, std::string_view key)
{
    const auto value = parseHex64(reader.requiredString(key));
    if (!value)
        reader.fault(key, "must be 16 hex digits");
    return value.value_or(0);
}

json::object writeRecord(const ClaimRecord &record)
{
    return {{"workspace", record.workspace},
            {"key", record.key},
            {"digest", hex64(record.digest)},
            {"request", toString(record.request)},
            {"gateName", record.gateName},
            {"gate", hex64(record.gate)},
            {"credit", hex64(record.credit)},
            {"token", hex64(record.token)},
            {"supersedes", hex64(record.supersedes)},
            {"createdAt", record.createdAt}};
}

ClaimRecord readRecord(const json::value &value, std::string path,
                       std::vector<DocumentFault> &faults)
{
    JsonObjectReader reader(value, std::move(path), faults);
    ClaimRecord record;
    record.workspace = reader.requiredString("workspace");
    record.key = reader.requiredString("key");
    record.digest = readHex(reader, "digest");
    const auto request = parseRequestId(reader.requiredString("request"));
    if (!request)
        reader.fault("request", "must be a request id");
    record.request = request.value_or(RequestId{});
    record.gateName = reader.requiredString("gateName");
    record.gate = readHex(reader, "gate");
    record.credit = readHex(reader, "credit");
    record.token = readHex(reader, "token");
    record.supersedes = readHex(reader, "supersedes");
    record.createdAt = reader.integer("createdAt", 0, {});
    reader.finish();
    return record;
}

} // namespace

std::string encodeClaimBatch(const ClaimBatch &batch)
{
    json::array records;
    for (const ClaimRecord &record : batch.records)
        records.emplace_back(writeRecord(record));
    return json::serialize(json::object{{"writer", hex64(batch.writer)}, {"records", records}});
}

Result<ClaimBatch> decodeClaimBatch(std::string_view text)
{
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    if (error)
        return failure(ErrorKind::BadRequest, "claim batch: " + error.message());
    std::vector<DocumentFault> faults;
    JsonObjectReader reader(document, "", faults);
    ClaimBatch batch;
    batch.writer = readHex(reader, "writer");
    if (const auto *records = reader.array("records")) {
        for (std::size_t i = 0; i < records->size(); ++i)
            batch.records.push_back(
                readRecord(records->at(i), fmt::format("records[{}]", i), faults));
    }
    reader.finish();
    if (!faults.empty())
        return failure(ErrorKind::BadRequest, "claim batch: " + toString(faults));
    return batch;
}

std::size_t claimShard(std::string_view workspace, std::string_view key, std::size_t shards)
{
    return fingerprint(workspace, key) % shards;
}

} // namespace tamarack
