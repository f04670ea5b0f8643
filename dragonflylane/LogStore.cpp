#include "dragonflylane/LogStore.h"

#include "dragonflylane/Bytes.h"
#include "dragonflylane/Digest.h"
#include "dragonflylane/LogBatch.h"
#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace dragonflylane {

namespace {

    constexpr const char* fileName = "replica.log";
    constexpr const char* temporaryName = "replica.log.new";
    constexpr const char* permissionName = "may-bootstrap";
    constexpr std::string_view fileMagic = "DFLYLOG1";
    constexpr std::string_view recordMagic = "\xD7REC";
    constexpr size_t headerBytes = 24;
    constexpr size_t recordHeaderBytes = 16;

    uint64_t readNumber(std::string_view bytes)
    {
        uint64_t value = 0;
        for (size_t i = 0; i < bytes.size(); ++i)
            value |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
        return value;
    }

    uint64_t recordChecksum(std::string_view batch, uint64_t salt, uint64_t offset)
    {
        return stableHash(batch, salt ^ offset);
    }

    std::string makeHeader(uint64_t salt)
    {
        std::string header(fileMagic);
        appendNumber(header, salt, 8);
        appendNumber(header, stableHash(header), 8);
        return header;
    }

    std::string makeRecord(std::string_view batch, uint64_t salt, uint64_t offset)
    {
        std::string record(recordMagic);
        record.reserve(recordHeaderBytes + batch.size());
        appendNumber(record, batch.size(), 4);
        appendNumber(record, recordChecksum(batch, salt, offset), 8);
        record += batch;
        return record;
    }

    bool isHeaderValid(std::string_view content)
    {
        return content.size() >= headerBytes && content.starts_with(fileMagic)
            && readNumber(content.substr(16, 8)) == stableHash(content.substr(0, 16));
    }

    /// The batch of the record at the offset, if the record is complete and its checksum matches.
    std::optional<std::string_view> batchAt(std::string_view content, uint64_t salt, uint64_t offset)
    {
        std::string_view rest = content.substr(offset);
        if (rest.size() < recordHeaderBytes || !rest.starts_with(recordMagic))
            return std::nullopt;
        uint64_t length = readNumber(rest.substr(4, 4));
        if (length > rest.size() - recordHeaderBytes)
            return std::nullopt;
        std::string_view batch = rest.substr(recordHeaderBytes, length);
        if (recordChecksum(batch, salt, offset) != readNumber(rest.substr(8, 8)))
            return std::nullopt;
        return batch;
    }

    // A valid record after an invalid one proves that the invalid one had been synced, so it is damaged and not torn.
    bool hasValidRecordAfter(std::string_view content, uint64_t salt, uint64_t offset)
    {
        for (size_t at = content.find(recordMagic, offset); at != std::string_view::npos;
             at = content.find(recordMagic, at + 1)) {
            if (batchAt(content, salt, at))
                return true;
        }
        return false;
    }

    uint64_t lastIndexOf(const RecoveredLog& log)
    {
        return log.snapshot.index.value() + log.entries.size();
    }

    void truncateEntries(RecoveredLog& log, LogIndex from)
    {
        auto end = std::ranges::lower_bound(log.entries, from, {}, &LogEntry::index);
        log.entries.erase(end, log.entries.end());
    }

    void removeCompactedEntries(RecoveredLog& log)
    {
        auto end = std::ranges::upper_bound(log.entries, log.snapshot.index, {}, &LogEntry::index);
        log.entries.erase(log.entries.begin(), end);
    }

    std::string makeReplicaId(const HostId& host, uint64_t random)
    {
        std::array<char, 20> suffix {};
        std::snprintf(suffix.data(), suffix.size(), "/%016llx", static_cast<unsigned long long>(random));
        return host.value() + suffix.data();
    }

} // namespace

bool applyLogWrite(const LogWrite& write, RecoveredLog& log)
{
    if (write.hardState)
        log.hardState = *write.hardState;
    if (write.truncateFrom)
        truncateEntries(log, *write.truncateFrom);
    if (write.snapshot) {
        log.snapshot = *write.snapshot;
        removeCompactedEntries(log);
    }
    for (const LogEntry& entry : write.entries) {
        if (entry.index <= log.snapshot.index)
            continue;
        if (entry.index.value() != lastIndexOf(log) + 1)
            return false;
        log.entries.push_back(entry);
    }
    return log.entries.empty() || log.entries.front().index == log.snapshot.index.next();
}

LogStore::LogStore(LogStoreOptions options, std::unique_ptr<LogFiles> files)
    : m_options(std::move(options))
    , m_files(std::move(files))
    , m_error(ResultCode::StorageFailed)
{
}

std::error_code LogStore::open(RecoveredLog& log, LogStoreReport& report)
{
    report = { .file = fileName };
    std::string content;
    bool exists = false;
    if (auto error = m_files->read(fileName, content, exists))
        return fail(error);
    m_log = {};
    report.isNew = !exists;
    if (auto error = readPermission(report.isNew, report))
        return fail(error);
    if (exists) {
        if (auto error = recover(content, report))
            return fail(error);
    } else {
        m_log.replicaId = ReplicaId(makeReplicaId(m_options.self, m_options.random));
    }
    content = {};
    m_error = {};
    if (auto error = rewrite())
        return fail(error);
    log = m_log;
    return {};
}

// A new permission is durable once rewrite() has synced the folder, before the replica takes part in an election.
std::error_code LogStore::readPermission(bool isNew, LogStoreReport& report)
{
    std::string content;
    if (auto error = m_files->read(permissionName, content, report.mayBootstrap))
        return error;
    if (report.mayBootstrap || !isNew || !m_options.mayBootstrap)
        return {};
    std::unique_ptr<LogFile> file;
    if (auto error = m_files->create(permissionName, file))
        return error;
    report.mayBootstrap = true;
    return file->sync();
}

std::error_code LogStore::recover(std::string_view content, LogStoreReport& report)
{
    // The file is renamed to its final name only after a sync, so its header is never torn.
    if (!isHeaderValid(content))
        return ResultCode::LogDamaged;
    uint64_t salt = readNumber(content.substr(8, 8));
    uint64_t offset = headerBytes;
    while (offset < content.size()) {
        report.offset = offset;
        std::optional<std::string_view> bytes = batchAt(content, salt, offset);
        if (!bytes) {
            // The first record is synced before the file is renamed to its final name, so it is never torn.
            if (offset == headerBytes || hasValidRecordAfter(content, salt, offset + 1))
                return ResultCode::LogDamaged;
            report.tornBytes = content.size() - offset;
            return {};
        }
        LogBatch batch;
        if (decode(*bytes, batch) || !applyLogWrite(batch.write, m_log))
            return ResultCode::LogDamaged;
        if (batch.replicaId)
            m_log.replicaId = *batch.replicaId;
        offset += recordHeaderBytes + bytes->size();
    }
    report.offset = offset;
    return m_log.replicaId.isEmpty() ? std::error_code(ResultCode::LogDamaged) : std::error_code();
}

std::error_code LogStore::write(const LogWrite& write)
{
    if (m_error)
        return m_error;
    if (!applyLogWrite(write, m_log)) {
        m_isInconsistent = true;
        return fail(ResultCode::StorageFailed);
    }
    bool isOverRewriteSize = m_fileBytes > std::max<uint64_t>(m_options.rewriteBytes, 2 * m_rewrittenBytes);
    if (write.snapshot || isOverRewriteSize) {
        auto error = rewrite();
        return error ? fail(error) : error;
    }
    if (auto error = appendRecord(*m_file, encode(LogBatch { std::nullopt, write })))
        return fail(error);
    if (auto error = m_file->sync())
        return fail(error);
    return {};
}

std::error_code LogStore::retry()
{
    if (!m_error || m_isInconsistent)
        return m_error;
    m_error = {};
    auto error = rewrite();
    return error ? fail(error) : error;
}

std::error_code LogStore::appendRecord(LogFile& file, std::string_view batch)
{
    if (batch.size() > maxLogBatchBytes)
        return ResultCode::StorageFailed;
    std::string record = makeRecord(batch, m_salt, m_fileBytes);
    m_fileBytes += record.size();
    return file.append(record);
}

// Writes the whole state as the first record of a new file. The old file stays valid until the rename.
std::error_code LogStore::rewrite()
{
    std::unique_ptr<LogFile> file;
    if (auto error = m_files->create(temporaryName, file))
        return error;
    m_salt = stableHash(m_log.replicaId.value(), m_options.random ^ ++m_rewrites);
    std::string header = makeHeader(m_salt);
    if (auto error = file->append(header))
        return error;
    m_fileBytes = header.size();
    LogBatch wholeState { m_log.replicaId, { m_log.hardState, std::nullopt, m_log.snapshot, m_log.entries } };
    if (auto error = appendRecord(*file, encode(wholeState)))
        return error;
    if (auto error = file->sync())
        return error;
    if (auto error = m_files->rename(temporaryName, fileName))
        return error;
    if (auto error = m_files->syncFolder())
        return error;
    m_file = std::move(file);
    m_rewrittenBytes = m_fileBytes;
    return {};
}

std::error_code LogStore::fail(const std::error_code& error)
{
    m_error = error.category() == resultCategory() ? error : std::error_code(ResultCode::StorageFailed);
    return m_error;
}

} // namespace dragonflylane
