#include "serving/ReturnBook.h"

#include "base/Hash.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace tamarack {

namespace {

/// Part of the expected starts that may be promised; the others are for new requests.
constexpr double promisedShare = 0.6;
/// Clients return up to this many slots beside their own.
constexpr std::int64_t slotTolerance = 1;
constexpr std::uint64_t spreadSteps = 1 << 16;

double slotSeconds()
{
    return std::chrono::duration<double>(ReturnBook::slotLength).count();
}

/// A fraction from 0 to below 1.
double fraction(std::uint64_t hash)
{
    return static_cast<double>(hash % spreadSteps) / spreadSteps;
}

} // namespace

std::int64_t ReturnBook::slotAt(TimePoint time)
{
    return time.time_since_epoch() / std::chrono::duration_cast<Duration>(slotLength);
}

std::uint32_t ReturnBook::expected(const Book &book, std::int64_t slot)
{
    const auto count = [slot](const Slots &slots) {
        const auto found = slots.find(slot);
        return found == slots.end() ? 0U : found->second;
    };
    return count(book.own) + count(book.peers);
}

std::uint32_t ReturnBook::expectedUpTo(const Books &books, QueueRank rank, std::int64_t slot)
{
    return std::accumulate(
        books.begin(), books.upper_bound(rank), 0U,
        [slot](std::uint32_t sum, const auto &item) { return sum + expected(item.second, slot); });
}

void ReturnBook::removePast(Book &book, std::int64_t slot)
{
    const std::int64_t firstKept = slot - slotTolerance;
    book.own.erase(book.own.begin(), book.own.lower_bound(firstKept));
    book.peers.erase(book.peers.begin(), book.peers.lower_bound(firstKept));
}

ReturnBook::Appointment ReturnBook::book(std::string_view service, QueueRank rank,
                                         const Terms &terms, TimePoint now)
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        found = m_services.emplace(std::string(service), Books()).first;
    Books &books = found->second;
    Book &book = books[rank];
    const std::int64_t current = slotAt(now);
    for (auto &[other, each] : books)
        removePast(each, current);

    const double capacity = promisedShare * terms.roomPerSecond * slotSeconds();
    const std::int64_t end = current + static_cast<std::int64_t>(slotCount);
    const std::int64_t first = std::min(slotAt(now + terms.earliest), end);
    const std::int64_t last = std::min(slotAt(now + terms.latest), end - 1);
    const auto roomOf = [&](std::int64_t slot) {
        return std::max(0.0, capacity - expectedUpTo(books, rank, slot));
    };
    double room = 0;
    for (std::int64_t slot = first; slot <= last; ++slot)
        room += roomOf(slot);
    const bool canReturn = terms.earliest <= terms.latest && room > 0;
    std::int64_t chosen = std::max(first, last + 1);
    if (canReturn) {
        double draw = room * fraction(terms.seed);
        for (chosen = first; chosen < last && draw >= roomOf(chosen); ++chosen)
            draw -= roomOf(chosen);
        // Rounding may lead past the last slot with room.
        while (chosen > first && roomOf(chosen) <= 0)
            --chosen;
    } else {
        while (chosen < end && roomOf(chosen) <= 0)
            ++chosen;
    }

    Appointment appointment;
    appointment.tooLate = !canReturn;
    appointment.expected = expectedUpTo(books, rank, chosen);
    const Duration inSlot = std::chrono::duration_cast<Duration>(
        slotLength * fraction(mixBits(terms.seed, static_cast<std::uint64_t>(chosen))));
    const Duration until = TimePoint(slotLength * chosen) - now + inSlot;
    if (canReturn) {
        appointment.delay = std::clamp(until, terms.earliest, terms.latest);
        ++book.own[slotAt(now + appointment.delay)];
    } else {
        appointment.delay = std::max<Duration>(until, terms.latest + slotLength);
    }
    return appointment;
}

void ReturnBook::setPeers(std::span<const std::pair<ReturnSlots, TimePoint>> rows)
{
    for (auto &[service, books] : m_services)
        for (auto &[rank, book] : books)
            book.peers.clear();
    for (const auto &[row, receivedAt] : rows) {
        const std::int64_t first = slotAt(receivedAt);
        Slots &peers = m_services[row.service][row.rank].peers;
        for (std::size_t i = 0; i < std::min(row.counts.size(), slotCount); ++i)
            if (row.counts[i] > 0)
                peers[first + static_cast<std::int64_t>(i)] += row.counts[i];
    }
}

double ReturnBook::dueUpTo(std::string_view service, QueueRank rank, TimePoint now) const
{
    const auto books = m_services.find(service);
    if (books == m_services.end())
        return 0;
    double due = 0;
    for (auto book = books->second.begin(); book != books->second.end() && book->first <= rank;
         ++book)
        due += dueNow(service, book->first, now);
    return due;
}

double ReturnBook::dueNow(std::string_view service, QueueRank rank, TimePoint now) const
{
    const auto books = m_services.find(service);
    if (books == m_services.end())
        return 0;
    const auto book = books->second.find(rank);
    if (book == books->second.end())
        return 0;
    const std::int64_t current = slotAt(now);
    double due = 0;
    for (std::int64_t slot = current - slotTolerance; slot <= current + slotTolerance; ++slot)
        due += expected(book->second, slot);
    return due;
}

std::vector<ReturnSlots> ReturnBook::rows(TimePoint now) const
{
    std::vector<ReturnSlots> rows;
    const std::int64_t current = slotAt(now);
    for (const auto &[service, books] : m_services) {
        for (const auto &[rank, book] : books) {
            const auto first = book.own.lower_bound(current);
            if (first == book.own.end())
                continue;
            constexpr std::uint32_t mostInRow = std::numeric_limits<std::uint16_t>::max();
            ReturnSlots row{service, rank, {}};
            row.counts.resize(static_cast<std::size_t>(book.own.rbegin()->first - current + 1));
            for (auto slot = first; slot != book.own.end(); ++slot)
                row.counts[static_cast<std::size_t>(slot->first - current)] =
                    static_cast<std::uint16_t>(std::min(slot->second, mostInRow));
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

} // namespace tamarack
