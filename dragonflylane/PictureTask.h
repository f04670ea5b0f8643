#pragma once

// Keeps the picture of this daemon current: the configuration in force and the upstreams that members announce.

#include "dragonflylane/PictureBuilder.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylane {

struct MemberRecord;

/// The upstream that a member announces; nothing if it is not present or announces none.
std::optional<UpstreamEntry> upstreamEntry(const MemberRecord&);

/// Owns the builder. Changes that arrive together lead to one new picture.
class PictureTask {
public:
    using Published = std::function<void(const std::shared_ptr<const Picture>&)>;
    /// Reports two hosts that claim one upstream id.
    using Conflict = std::function<void(const UpstreamConflict&)>;

    PictureTask(boost::asio::io_context&, Published, Conflict);

    void setState(const ConfigState&);
    void setMember(const HostId&, const std::optional<MemberRecord>&);

    const std::shared_ptr<const Picture>& picture() const { return m_picture; }
    std::vector<UpstreamConflict> conflicts() const { return m_builder.conflicts(); }

private:
    void schedule();

    boost::asio::io_context& m_context;
    Published m_published;
    Conflict m_conflict;
    PictureBuilder m_builder;
    std::shared_ptr<const Picture> m_picture;
    bool m_isScheduled { false };
};

} // namespace dragonflylane
