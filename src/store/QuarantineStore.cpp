#include "store/QuarantineStore.h"

#include "base/AsioPch.h"
#include "sched/QuarantineTable.h"

namespace tamarack {

namespace asio = boost::asio;
namespace json = boost::json;

std::string encodeFingerprintReports(const std::vector<FingerprintReport> &reports)
{
    json::array rows;
    for (const FingerprintReport &report : reports)
        rows.emplace_back(json::object{{"fingerprint", hex64(report.fingerprint)},
                                       {"crash", hex64(report.crash)},
                                       {"cleared", report.cleared}});
    return json::serialize(json::object{{"rows", rows}});
}

Result<std::vector<FingerprintReport>> decodeFingerprintReports(std::string_view text)
{
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    if (error)
        return failure(ErrorKind::BadRequest, "quarantine: " + error.message());
    std::vector<DocumentFault> faults;
    JsonObjectReader reader(document, "", faults);
    std::vector<FingerprintReport> reports;
    if (const auto *rows = reader.array("rows")) {
        for (const auto &item : *rows) {
            JsonObjectReader row(item, "rows", faults);
            const auto fingerprint = parseHex64(row.requiredString("fingerprint"));
            const auto crash = parseHex64(row.requiredString("crash"));
            const bool cleared = row.boolean("cleared", false);
            row.finish();
            if (!fingerprint || !crash)
                row.fault("fingerprint", "and crash must be 16 hex digits");
            reports.push_back({fingerprint.value_or(0), crash.value_or(0), cleared});
        }
    }
    reader.finish();
    if (!faults.empty())
        return failure(ErrorKind::BadRequest, "quarantine: " + toString(faults));
    return reports;
}

asio::awaitable<Result<std::vector<FingerprintReport>>>
syncQuarantine(ObjectStore &store, std::vector<FingerprintReport> known)
{
    std::string key = "quarantine";
    const auto object = co_await store.read(std::move(key));
    if (!object && object.error().kind != ErrorKind::NotFound)
        co_return tl::unexpected(object.error());
    QuarantineTable table;
    if (object) {
        const auto stored = decodeFingerprintReports(object->value);
        if (!stored)
            co_return tl::unexpected(stored.error());
        table.merge(*stored);
    }
    const auto added = table.merge(known);
    std::vector<FingerprintReport> rows = table.rows();
    if (added.empty())
        co_return rows;
    std::string target = "quarantine";
    std::string value = encodeFingerprintReports(rows);
    Result<ObjectVersion> written;
    if (object)
        written = co_await store.update(std::move(target), std::move(value), object->version);
    else
        written = co_await store.create(std::move(target), std::move(value));
    if (!written)
        co_return tl::unexpected(written.error());
    co_return rows;
}

} // namespace tamarack
