#pragma once

#include "peer/Messages.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// Demand of every linked entry and the order in which it is served: tier first, then the
/// workspace that has received least work for its weight, then entries of the own data centre.
class DemandBook
{
public:
    struct Choice
    {
        Incarnation entry = 0;
        DemandRow row;
    };

    explicit DemandBook(std::string dataCentre)
        : m_dataCentre(std::move(dataCentre))
    {}

    void addEntry(Incarnation entry, std::string dataCentre);
    void removeEntry(Incarnation entry);

    /// Replaces the demand of an entry.
    void replace(Incarnation entry, const Demand &demand);

    /// One request of the row has a credit: it no longer counts as demand.
    void take(const Choice &choice);

    /// The row to serve next among `targets`; empty when there is no demand.
    std::optional<Choice> next(std::span<const std::string> targets) const;

    /// Charges work to a workspace.
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
    double m_floor = 0;
};

} // namespace tamarack
