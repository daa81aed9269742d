#pragma once

#include "base/Time.h"
#include "serving/QueueRank.h"
#include "serving/ReturnSlots.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarack {

/// Appointments of refused clients at all entries: who is expected back when.
///
/// Designed for peaks of 3 to 10 s. Clients that all return after some part of their
/// time return into the peak that refused them or into the next one, and fare worse than those that
/// come for the first time.
class ReturnBook
{
public:
    static constexpr milliseconds slotLength{250};
    static constexpr std::size_t slotCount = 64;

    /// When a refused client can return.
    struct Terms
    {
        /// Shortest delay: when there may be room, and the return can be distinguished from a first
        /// attempt.
        Duration earliest{};
        /// Longest delay that the client honours.
        Duration latest{};
        /// Starts per second that the rank can expect.
        double roomPerSecond = 0;
        /// Spreads the clients evenly; any hash.
        std::uint64_t seed = 0;
    };
    struct Appointment
    {
        Duration delay{};
        /// The client cannot be served in its time; `delay` is when there is room, or may be.
        bool tooLate = false;
        /// Clients expected in its slot before.
        std::uint32_t expected = 0;

        bool operator==(const Appointment &) const = default;
    };

    /// Makes an appointment. The choice is random among the slots with room, in proportion to it:
    /// the other entries choose by figures of the same age.
    Appointment book(std::string_view service, QueueRank rank, const Terms &terms, TimePoint now);

    /// Replaces the appointments of the other entries, by row and time of receipt.
    void setPeers(std::span<const std::pair<ReturnSlots, TimePoint>> rows);

    /// The same for the rank and all above it.
    double dueUpTo(std::string_view service, QueueRank rank, TimePoint now) const;
    /// Clients of the rank that are expected in the present slot or one beside it, at any entry.
    double dueNow(std::string_view service, QueueRank rank, TimePoint now) const;

    /// Appointments made by this entry, for the others.
    std::vector<ReturnSlots> rows(TimePoint now) const;

private:
    /// Appointments by the number of their slot since the clock's epoch. Bounded, since only slots
    /// of the next `slotCount` are written.
    using Slots = std::map<std::int64_t, std::uint32_t>;
    struct Book
    {
        Slots own;
        Slots peers;
    };
    using Books = std::map<QueueRank, Book>;

    static std::int64_t slotAt(TimePoint time);
    static std::uint32_t expected(const Book &book, std::int64_t slot);
    /// Clients of the rank and of higher ranks that are expected in the slot.
    static std::uint32_t expectedUpTo(const Books &books, QueueRank rank, std::int64_t slot);
    static void removePast(Book &book, std::int64_t slot);

    std::map<std::string, Books, std::less<>> m_services;
};

} // namespace tamarack
