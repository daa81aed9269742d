#include "base/BufferBudget.h"

namespace tamarack {

BufferBudget::Share::Share(BufferBudget &budget)
    : m_budget(budget)
{
    ++m_budget.m_bodies;
}

BufferBudget::Share::~Share()
{
    --m_budget.m_bodies;
    m_budget.m_size -= m_size;
}

bool BufferBudget::Share::tryResize(std::size_t size)
{
    const std::size_t total = m_budget.m_size - m_size + size;
    const std::size_t capacity = m_budget.m_capacity;
    const bool isSmall = size <= capacity / m_budget.m_bodies;
    if (total > (isSmall ? 2 * capacity : capacity))
        return false;
    m_budget.m_size = total;
    m_size = size;
    return true;
}

} // namespace tamarack
