#pragma once

// Durable storage of a log replica: one checksummed file in the data folder.
//
//     std::unique_ptr<LogFiles> files;
//     openLogFolder(path, files);
//     LogStore store({ .self = host, .random = randomNumber }, std::move(files));
//     RecoveredLog log;
//     LogStoreReport report;
//     if (auto error = store.open(log, report)) ...   // refuse to start; report names file and offset
//     store.write(persist.write);                      // synced on return
//
// Format of "replica.log": a header (8 bytes magic, 8 bytes salt, 8 bytes checksum), then records (4 bytes magic,
// 4 bytes length, 8 bytes checksum, encoded LogBatch), all little-endian. Each write is one record, so it is recovered
// completely or not at all. The checksum is seeded with the salt and the record's offset, so a record that occurs
// inside a payload is not mistaken for a record of the file.
//
// open() writes the recovered state to a new file, syncs it and renames it. After a crash of only the process, the data
// read back may still be unsynced, and pages whose sync failed may be marked clean. Writing them again makes them
// durable before the replica acts on them. A snapshot also writes a new file, which removes the old entries.
//
// The empty file "may-bootstrap" is the permission to bootstrap the log. It is kept with the replica id and lost with
// it: a replica that was restarted before there was a log must still be able to found one, and one that lost its disk
// must not.
//
// Limitation: damage inside the last record cannot be distinguished from a torn write. It is truncated and reported.

#include "dragonflylane/LogFiles.h"
#include "dragonflylane/LogMessages.h"

#include <cstdint>

namespace dragonflylane {

struct LogStoreOptions {
    /// Host id, the prefix of the replica id of a new folder.
    HostId self {};
    /// Random number for the replica id of a new folder and the salt of the file; must differ at each start.
    uint64_t random { 0 };
    /// A new folder is given the permission to bootstrap the log.
    bool mayBootstrap { false };
    /// The file is rewritten without superseded records when it exceeds this size and twice its size after the last
    /// rewrite.
    size_t rewriteBytes { 16U << 20 };
};

/// Result of open(), for the log line and the error message.
struct LogStoreReport {
    std::string file {};
    /// Offset of the damaged record or of the torn tail.
    uint64_t offset { 0 };
    /// Number of bytes removed after the last complete record.
    uint64_t tornBytes { 0 };
    bool isNew { false };
    /// The folder has the permission to bootstrap the log, from this start or from its first one.
    bool mayBootstrap { false };
};

/// Applies a write to a log in memory. Returns false if the entries would not be contiguous.
bool applyLogWrite(const LogWrite&, RecoveredLog&);

/// Stores a log durably. Not thread-safe, but may be used on a thread of its own.
class LogStore {
public:
    LogStore(LogStoreOptions, std::unique_ptr<LogFiles>);

    /// Recovers the log, or creates an empty one with a new replica id. Returns LogDamaged for damage before the last
    /// record, StorageFailed for errors of the file system.
    std::error_code open(RecoveredLog&, LogStoreReport&);
    /// Writes and syncs. After any error, all further writes return the same error until retry() succeeds, since the
    /// content of the file is unknown: a second fsync may succeed without having written the pages of the first.
    std::error_code write(const LogWrite&);
    /// After a failed write, writes the whole state including that write to a new file. The old file stays valid until
    /// the new one replaces it, so this may be called repeatedly, for example until a full disk has free space again.
    std::error_code retry();
    /// False after a write whose entries are not contiguous with the log. No retry can succeed then.
    bool mayRetry() const { return !m_isInconsistent; }
    uint64_t fileBytes() const { return m_fileBytes; }

private:
    std::error_code readPermission(bool isNew, LogStoreReport&);
    std::error_code recover(std::string_view content, LogStoreReport&);
    std::error_code rewrite();
    std::error_code appendRecord(LogFile&, std::string_view batch);
    std::error_code fail(const std::error_code&);

    LogStoreOptions m_options;
    std::unique_ptr<LogFiles> m_files;
    std::unique_ptr<LogFile> m_file;
    /// Copy of the durable state for rewrite(). Its size is bounded by the replica's snapshots.
    RecoveredLog m_log;
    uint64_t m_salt { 0 };
    uint64_t m_rewrites { 0 };
    uint64_t m_fileBytes { 0 };
    /// Size of the file after it was last rewritten.
    uint64_t m_rewrittenBytes { 0 };
    std::error_code m_error;
    bool m_isInconsistent { false };
};

} // namespace dragonflylane
