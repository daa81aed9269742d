#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace tamarack::standin {

/// Model of the users' platform's store, following its protocol documentation: objects by kind and
/// name, one revision counter, paged listings, watches over a bounded history, conditional writes.
class PlatformStore
{
public:
    /// HTTP status and body of a response.
    struct Answer
    {
        int status = 200;
        boost::json::value body;
    };

    explicit PlatformStore(std::size_t pageSize = 50)
        : m_pageSize(pageSize)
    {}

    void setPageSize(std::size_t pageSize) { m_pageSize = pageSize; }

    /// Objects after the name; from the first one if there is no name.
    Answer list(const std::string &kind, const std::optional<std::string> &after) const;
    Answer get(const std::string &kind, const std::string &name) const;
    /// Returns 201, or 409 with the existing object.
    Answer create(const std::string &kind, const std::string &name, boost::json::value spec);
    /// `revision` 0 replaces unconditionally. 409 carries the current object.
    Answer replace(const std::string &kind, const std::string &name, boost::json::value spec,
                   std::uint64_t revision);
    /// Like `replace`, for the object's status.
    Answer replaceStatus(const std::string &kind, const std::string &name,
                         boost::json::value status, std::uint64_t revision);
    /// `revision` 0 removes unconditionally. 409 carries the current object.
    Answer remove(const std::string &kind, const std::string &name, std::uint64_t revision = 0);
    /// Changes of the kind after `revision`; empty if there are none yet. Returns 410 if the
    /// history from `revision` on is no longer kept, or the store has not reached it.
    std::optional<Answer> changes(const std::string &kind, std::uint64_t revision) const;
    Answer noChanges() const;

    /// Replaces the content by that of an older copy and begins a new era.
    void restore(const PlatformStore &copy);
    std::uint64_t era() const { return m_era; }
    /// Discards the change history, so that watches from earlier revisions get 410.
    void compact();
    std::uint64_t revision() const { return m_revision; }

private:
    struct Object
    {
        boost::json::value spec;
        boost::json::value status;
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
    };
    struct Change
    {
        std::string kind;
        std::string name;
        std::uint64_t revision = 0;
        bool deleted = false;
        Object object;
    };
    using Objects = std::map<std::string, Object>;

    static boost::json::object encode(const std::string &name, const Object &object);
    void record(const std::string &kind, const std::string &name, const Object &object,
                bool deleted);

    std::size_t m_pageSize;
    std::map<std::string, Objects> m_kinds;
    std::deque<Change> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compactedRevision = 0;
    std::uint64_t m_era = 1;
};

} // namespace tamarack::standin
