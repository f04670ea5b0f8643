#pragma once

// Bounded in-memory log of one daemon's recent decisions, read by `dragonflylane explain`.
//
//     journal.record({ .event = "call_refused", .subjects = { request, upstream }, .cause = request, .code = code });
//     for (const JournalEntry& entry : journal.find("kandy-a-1.17")) ...

#include "dragonflylane/ResultCode.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflylane {

/// One decision.
struct JournalEntry {
    uint64_t number { 0 };
    /// Wall-clock time in milliseconds since 1970. Only displayed and used to sort merged journals.
    int64_t wallMilliseconds { 0 };
    std::string host;
    /// What was decided, such as "call_refused".
    std::string event;
    /// Ids by which the entry can be looked up: request, plan, daemon or upstream.
    std::vector<std::string> subjects;
    /// Id of the request, plan, operator or upstream that caused the decision.
    std::string cause;
    ResultCode code { ResultCode::Ok };
    std::string detail;
};

/// Keeps the newest entries. Memory is bounded by the number of entries and the length of each text.
class Journal {
public:
    explicit Journal(std::string host, size_t capacity = 4096);

    void record(JournalEntry);
    /// Returns the newest `limit` entries with this subject or cause, oldest first. O(capacity).
    std::vector<JournalEntry> find(std::string_view id, size_t limit = 100) const;
    size_t size() const { return m_entries.size(); }

private:
    std::string m_host;
    size_t m_capacity;
    uint64_t m_nextNumber { 1 };
    std::deque<JournalEntry> m_entries;
};

} // namespace dragonflylane
