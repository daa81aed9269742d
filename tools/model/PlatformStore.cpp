#include "model/PlatformStore.h"

#include <algorithm>
#include <iterator>

namespace tamarack::standin {

namespace json = boost::json;

json::object PlatformStore::encode(const std::string &name, const Object &object)
{
    const json::object metadata{{"name", name},
                                {"revision", object.revision},
                                {"createRevision", object.createRevision},
                                {"finalizers", json::array{}},
                                {"deleting", false}};
    return {{"metadata", metadata}, {"spec", object.spec}, {"status", object.status}};
}

PlatformStore::Answer PlatformStore::list(const std::string &kind,
                                          const std::optional<std::string> &after) const
{
    json::array entries;
    bool more = false;
    if (const auto objects = m_kinds.find(kind); objects != m_kinds.end()) {
        auto it = after ? objects->second.upper_bound(*after) : objects->second.begin();
        for (; it != objects->second.end() && entries.size() < m_pageSize; ++it)
            entries.push_back(encode(it->first, it->second));
        more = it != objects->second.end();
    }
    return {200,
            json::object{{"entries", entries}, {"morePages", more}, {"currentRev", m_revision}}};
}

PlatformStore::Answer PlatformStore::get(const std::string &kind, const std::string &name) const
{
    const auto objects = m_kinds.find(kind);
    if (objects == m_kinds.end() || !objects->second.contains(name))
        return {404, json::object{{"error", "no such object"}}};
    return {200, encode(name, objects->second.at(name))};
}

PlatformStore::Answer PlatformStore::create(const std::string &kind, const std::string &name,
                                            json::value spec)
{
    Objects &objects = m_kinds[kind];
    if (const auto present = objects.find(name); present != objects.end())
        return {409, encode(name, present->second)};
    ++m_revision;
    const Object object{std::move(spec), nullptr, m_revision, m_revision};
    objects[name] = object;
    record(kind, name, object, false);
    return {201, encode(name, object)};
}

PlatformStore::Answer PlatformStore::replace(const std::string &kind, const std::string &name,
                                             json::value spec, std::uint64_t revision)
{
    Objects &objects = m_kinds[kind];
    const auto present = objects.find(name);
    if (present == objects.end())
        return {404, json::object{{"error", "no such object"}}};
    Object &object = present->second;
    if (revision != 0 && revision != object.revision)
        return {409, encode(name, object)};
    // Replacing an object by an equal one creates no event.
    if (object.spec == spec)
        return {200, encode(name, object)};
    object.spec = std::move(spec);
    object.revision = ++m_revision;
    record(kind, name, object, false);
    return {200, encode(name, object)};
}

PlatformStore::Answer PlatformStore::replaceStatus(const std::string &kind, const std::string &name,
                                                   json::value status, std::uint64_t revision)
{
    Objects &objects = m_kinds[kind];
    const auto present = objects.find(name);
    if (present == objects.end())
        return {404, json::object{{"error", "no such object"}}};
    Object &object = present->second;
    if (revision != 0 && revision != object.revision)
        return {409, encode(name, object)};
    if (object.status == status)
        return {200, encode(name, object)};
    object.status = std::move(status);
    object.revision = ++m_revision;
    record(kind, name, object, false);
    return {200, encode(name, object)};
}

PlatformStore::Answer PlatformStore::remove(const std::string &kind, const std::string &name,
                                            std::uint64_t revision)
{
    Objects &objects = m_kinds[kind];
    const auto present = objects.find(name);
    if (present == objects.end())
        return {404, json::object{{"error", "no such object"}}};
    Object object = present->second;
    if (revision != 0 && revision != object.revision)
        return {409, encode(name, object)};
    objects.erase(present);
    object.revision = ++m_revision;
    record(kind, name, object, true);
    return {200, encode(name, object)};
}

std::optional<PlatformStore::Answer> PlatformStore::changes(const std::string &kind,
                                                            std::uint64_t revision) const
{
    if (revision < m_compactedRevision || revision > m_revision)
        return Answer{410, json::object{{"error", "history is gone"}}};
    json::array events;
    for (const Change &change : m_history)
        if (change.kind == kind && change.revision > revision)
            events.push_back(json::object{{"deleted", change.deleted},
                                          {"object", encode(change.name, change.object)}});
    if (events.empty())
        return std::nullopt;
    return Answer{200, json::object{{"events", events}, {"currentRev", m_revision}}};
}

PlatformStore::Answer PlatformStore::noChanges() const
{
    return {200, json::object{{"events", json::array{}}, {"currentRev", m_revision}}};
}

void PlatformStore::restore(const PlatformStore &copy)
{
    const std::uint64_t era = m_era + 1;
    *this = copy;
    m_era = era;
}

void PlatformStore::compact()
{
    m_history.clear();
    m_compactedRevision = m_revision;
}

void PlatformStore::record(const std::string &kind, const std::string &name, const Object &object,
                           bool deleted)
{
    m_history.push_back({kind, name, m_revision, deleted, object});
}

} // namespace tamarack::standin
