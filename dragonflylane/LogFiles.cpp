#include "dragonflylane/LogFiles.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace dragonflylane {

namespace {

    std::error_code lastError()
    {
        return { errno, std::system_category() };
    }

    /// Owns a file descriptor and closes it.
    class Descriptor {
    public:
        explicit Descriptor(int value)
            : m_value(value)
        {
        }
        Descriptor(Descriptor&& other) noexcept
            : m_value(std::exchange(other.m_value, -1))
        {
        }
        Descriptor& operator=(Descriptor&&) = delete;
        ~Descriptor()
        {
            if (m_value >= 0)
                ::close(m_value);
        }
        int value() const { return m_value; }
        bool isOpen() const { return m_value >= 0; }

    private:
        int m_value;
    };

    class PosixLogFile : public LogFile {
    public:
        explicit PosixLogFile(Descriptor file)
            : m_file(std::move(file))
        {
        }

        std::error_code append(std::string_view data) override
        {
            while (!data.empty()) {
                ssize_t written = ::write(m_file.value(), data.data(), data.size());
                if (written < 0 && errno == EINTR)
                    continue;
                if (written < 0)
                    return lastError();
                data.remove_prefix(static_cast<size_t>(written));
            }
            return {};
        }

        std::error_code sync() override { return ::fdatasync(m_file.value()) == 0 ? std::error_code() : lastError(); }

    private:
        Descriptor m_file;
    };

    class PosixLogFiles : public LogFiles {
    public:
        explicit PosixLogFiles(Descriptor folder)
            : m_folder(std::move(folder))
        {
        }

        std::error_code read(const std::string& name, std::string& content, bool& exists) override
        {
            content.clear();
            Descriptor file(::openat(m_folder.value(), name.c_str(), O_RDONLY | O_CLOEXEC));
            exists = file.isOpen();
            if (!exists)
                return errno == ENOENT ? std::error_code() : lastError();
            constexpr size_t chunkBytes = 1U << 20;
            std::string chunk(chunkBytes, '\0');
            while (true) {
                ssize_t got = ::read(file.value(), chunk.data(), chunk.size());
                if (got < 0 && errno == EINTR)
                    continue;
                if (got < 0)
                    return lastError();
                if (got == 0)
                    return {};
                content.append(chunk, 0, static_cast<size_t>(got));
            }
        }

        std::error_code create(const std::string& name, std::unique_ptr<LogFile>& out) override
        {
            constexpr mode_t ownerOnly = 0600;
            int flags = O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC;
            Descriptor file(::openat(m_folder.value(), name.c_str(), flags, ownerOnly));
            if (!file.isOpen())
                return lastError();
            out = std::make_unique<PosixLogFile>(std::move(file));
            return {};
        }

        std::error_code rename(const std::string& from, const std::string& to) override
        {
            int result = ::renameat(m_folder.value(), from.c_str(), m_folder.value(), to.c_str());
            return result == 0 ? std::error_code() : lastError();
        }

        std::error_code syncFolder() override
        {
            return ::fsync(m_folder.value()) == 0 ? std::error_code() : lastError();
        }

    private:
        Descriptor m_folder;
    };

    std::string parentOf(const std::string& path)
    {
        size_t slash = path.find_last_of('/');
        if (slash == std::string::npos)
            return ".";
        return slash == 0 ? "/" : path.substr(0, slash);
    }

    // The directory entry of a new folder is durable only after its parent folder is synced.
    std::error_code createFolder(const std::string& path)
    {
        constexpr mode_t ownerOnly = 0700;
        if (::mkdir(path.c_str(), ownerOnly) != 0)
            return errno == EEXIST ? std::error_code() : lastError();
        Descriptor parent(::open(parentOf(path).c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (!parent.isOpen() || ::fsync(parent.value()) != 0)
            return lastError();
        return {};
    }

} // namespace

std::error_code openLogFolder(const std::string& path, std::unique_ptr<LogFiles>& out)
{
    if (auto error = createFolder(path))
        return error;
    Descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.isOpen())
        return lastError();
    if (::flock(folder.value(), LOCK_EX | LOCK_NB) != 0)
        return lastError();
    out = std::make_unique<PosixLogFiles>(std::move(folder));
    return {};
}

} // namespace dragonflylane
