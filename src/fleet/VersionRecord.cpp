#include "fleet/VersionRecord.h"

#include <string_view>

#include <boost/json.hpp>

namespace tamarack {

namespace json = boost::json;

namespace {

constexpr std::string_view eraField = "era";
constexpr std::string_view pastUnknownField = "pastUnknown";
constexpr std::string_view servicesField = "services";
/// Another writer's object takes little more memory than its text.
constexpr std::size_t maxVersions = 10'000;

/// Adds the versions of one service. Returns false if they have another form.
bool decodeService(const std::string &service, const json::value &content,
                   std::set<ServiceVersion> &versions)
{
    const auto *names = content.if_array();
    if (!names || versions.size() + names->size() > maxVersions)
        return false;
    for (const json::value &each : *names) {
        const auto *name = each.if_string();
        if (!name)
            return false;
        versions.insert({service, std::string(*name)});
    }
    return true;
}

} // namespace

json::value encodeVersionRecord(const VersionRecord &record)
{
    json::object services;
    for (const auto &[service, version] : record.versions) {
        json::value &names = services[service];
        if (!names.is_array())
            names.emplace_array();
        names.get_array().emplace_back(version);
    }
    return json::object{{eraField, record.era},
                        {pastUnknownField, record.isPastUnknown},
                        {servicesField, std::move(services)}};
}

std::optional<VersionRecord> decodeVersionRecord(const json::value &content)
{
    const auto *object = content.if_object();
    const auto *era = object ? object->if_contains(eraField) : nullptr;
    const auto *pastUnknown = object ? object->if_contains(pastUnknownField) : nullptr;
    const auto *services = object ? object->if_contains(servicesField) : nullptr;
    const bool complete = era && era->is_number() && pastUnknown && pastUnknown->is_bool()
                          && services && services->is_object();
    boost::system::error_code error;
    const auto eraNumber = complete ? era->to_number<std::uint64_t>(error) : 0;
    if (!complete || error)
        return std::nullopt;
    VersionRecord record{eraNumber, pastUnknown->get_bool(), {}};
    for (const auto &[service, names] : services->get_object())
        if (!decodeService(service, names, record.versions))
            return std::nullopt;
    return record;
}

} // namespace tamarack
