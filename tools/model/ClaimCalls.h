#pragma once

#include "claims/ClaimShard.h"
#include "model/ObjectTable.h"

#include <functional>

namespace tamarack::standin {

/// Carries out calls of a claim shard on an object table, at once and without faults.
class ClaimCalls
{
public:
    /// The table that a read may see which asks for nothing older than the given version.
    using ReadView = std::function<const ObjectTable &(std::uint64_t notOlderThan)>;

    ClaimCalls(ObjectTable &table, ReadView view, std::size_t listedObjects)
        : m_table(table)
        , m_view(std::move(view))
        , m_listedObjects(listedObjects)
    {}

    ClaimCallResult perform(const ClaimCall &call);

    std::uint64_t writes() const { return m_writes; }
    std::uint64_t reads() const { return m_reads; }

private:
    ClaimCallResult act(const claims::Create &call);
    ClaimCallResult act(const claims::Update &call);
    ClaimCallResult act(const claims::Read &call);
    ClaimCallResult act(const claims::List &call);
    ClaimCallResult act(const claims::Remove &call);
    ClaimCallResult written(std::optional<std::uint64_t> version);

    ObjectTable &m_table;
    ReadView m_view;
    std::size_t m_listedObjects;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
};

} // namespace tamarack::standin
