#include "model/ClaimCalls.h"

namespace tamarack::standin {

ClaimCallResult ClaimCalls::perform(const ClaimCall &call)
{
    return std::visit([this](const auto &item) { return act(item); }, call);
}

ClaimCallResult ClaimCalls::written(std::optional<std::uint64_t> version)
{
    ++m_writes;
    ClaimCallResult result;
    result.status = version ? StoreStatus::Done : StoreStatus::Refused;
    result.version = version.value_or(0);
    return result;
}

ClaimCallResult ClaimCalls::act(const claims::Create &call)
{
    return written(m_table.put(call.key, call.value, ObjectTable::Condition::Absent, 0));
}

ClaimCallResult ClaimCalls::act(const claims::Update &call)
{
    const auto condition =
        call.version == 0 ? ObjectTable::Condition::Absent : ObjectTable::Condition::Version;
    return written(m_table.put(call.key, call.value, condition, call.version));
}

ClaimCallResult ClaimCalls::act(const claims::Read &call)
{
    ++m_reads;
    const auto object = m_view(call.notOlderThan).find(call.key);
    ClaimCallResult result;
    result.status = object ? StoreStatus::Done : StoreStatus::Refused;
    if (object) {
        result.value = object->value;
        result.version = object->version;
    }
    return result;
}

ClaimCallResult ClaimCalls::act(const claims::List &call)
{
    ++m_reads;
    ClaimCallResult result;
    result.status = StoreStatus::Done;
    for (const auto &object :
         m_view(call.notOlderThan).list(call.prefix, call.after, m_listedObjects))
        result.objects.push_back({object.key, object.value, object.version});
    return result;
}

ClaimCallResult ClaimCalls::act(const claims::Remove &call)
{
    ++m_writes;
    ClaimCallResult result;
    result.status = m_table.remove(call.key) ? StoreStatus::Done : StoreStatus::Refused;
    return result;
}

} // namespace tamarack::standin
