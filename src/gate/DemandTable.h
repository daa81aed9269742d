#pragma once

#include "peer/Messages.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// Queued demand reported by every linked entry, and the order in which it is served: by tier, then
/// by the workspace that has received the least work relative to its weight (weighted fair
/// queuing), then entries of the local data centre before remote ones.
class DemandTable
{
public:
    struct Choice
    {
        Incarnation entry = 0;
        DemandRow row;
    };

    explicit DemandTable(std::string dataCentre)
        : m_dataCentre(std::move(dataCentre))
    {}

    void addEntry(Incarnation entry, std::string dataCentre);
    void removeEntry(Incarnation entry);

    /// Replaces the reported demand of an entry; ignored when the entry is not linked.
    void replace(Incarnation entry, const Demand &demand);

    /// Subtracts one request from the row, because a credit was issued for it.
    void markCredited(const Choice &choice);

    /// Returns the row to serve next among `targets`, or std::nullopt when there is no demand.
    std::optional<Choice> next(std::span<const std::string> targets) const;

    /// Charges `work` to the workspace, which lowers its precedence in proportion to its weight.
    void charge(std::string_view workspace, double work);
    void setWeight(std::string_view workspace, double weight);

private:
    struct EntryDemand
    {
        std::string dataCentre;
        std::vector<DemandRow> rows;
    };

    double virtualTime(std::string_view workspace) const;

    std::string m_dataCentre;
    std::map<Incarnation, EntryDemand> m_entries;
    std::map<std::string, double, std::less<>> m_virtualTime;
    std::map<std::string, double, std::less<>> m_weights;
    double m_minVirtualTime = 0;
};

} // namespace tamarack
