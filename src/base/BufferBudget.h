#pragma once

#include <cstddef>

namespace tamarack {

/// Bounds the memory for bodies that are held until they are complete.
///
/// Answers bodies without end at many connections at once: while memory is left, each body may
/// grow; then only those below an equal share of the capacity may, so that the largest end first
/// and sound ones are not affected. All bodies together have at most twice the capacity. Not
/// thread-safe.
class BufferBudget
{
public:
    explicit BufferBudget(std::size_t capacity)
        : m_capacity(capacity)
    {}
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    /// The memory of one body, which is returned at the end of its lifetime.
    class Share
    {
    public:
        explicit Share(BufferBudget &budget);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// Whether the body may have `size` bytes. If it may, they count from now on.
        bool tryResize(std::size_t size);

    private:
        BufferBudget &m_budget;
        std::size_t m_size = 0;
    };

    std::size_t size() const { return m_size; }
    std::size_t bodies() const { return m_bodies; }

private:
    std::size_t m_capacity;
    std::size_t m_size = 0;
    std::size_t m_bodies = 0;
};

} // namespace tamarack
