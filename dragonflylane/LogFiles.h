#pragma once

// File access of the LogStore, behind an interface so that tests can simulate lost unsynced data, torn writes and
// errors.

#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

/// A file open for appending.
class LogFile {
public:
    virtual ~LogFile() = default;
    virtual std::error_code append(std::string_view) = 0;
    /// Returns only after the data is on stable storage (fdatasync).
    virtual std::error_code sync() = 0;
};

/// Files of one folder. All errors have the system category.
class LogFiles {
public:
    virtual ~LogFiles() = default;
    /// Reads a whole file. If there is none, succeeds and sets `exists` to false.
    virtual std::error_code read(const std::string& name, std::string& content, bool& exists) = 0;
    /// Creates a file, or truncates an existing one.
    virtual std::error_code create(const std::string& name, std::unique_ptr<LogFile>&) = 0;
    virtual std::error_code rename(const std::string& from, const std::string& to) = 0;
    /// Makes creations and renames durable (fsync of the folder).
    virtual std::error_code syncFolder() = 0;
};

/// Opens a folder of the file system, creating it if absent, and locks it against a second process.
std::error_code openLogFolder(const std::string& path, std::unique_ptr<LogFiles>&);

} // namespace dragonflylane
