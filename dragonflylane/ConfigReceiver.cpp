#include "dragonflylane/ConfigReceiver.h"

#include "dragonflylane/ConfigWire.h"
#include "dragonflylane/ResultCode.h"

namespace dragonflylane {

ConfigReceiver::ConfigReceiver(ConfigReceiverOptions options)
    : m_options(options)
    , m_history(options.history)
{
}

std::error_code ConfigReceiver::accept(const ConfigPayload& payload, std::string* detail)
{
    if (std::error_code error = checkRevisionOrder(payload))
        return error;
    bool isCurrent = payload.revision == state().revision() && payload.digest == state().digest();
    if (isCurrent)
        return {};
    switch (payload.kind) {
    case ConfigPayload::Kind::UpToDate:
        // The sender has no update for this daemon although the two hold different states.
        return ResultCode::BaseMismatch;
    case ConfigPayload::Kind::Delta:
        return acceptDelta(payload, detail);
    case ConfigPayload::Kind::Snapshot:
        return acceptSnapshot(payload, detail);
    }
    return ResultCode::MalformedFrame;
}

std::error_code ConfigReceiver::replaceDivergent(const ConfigPayload& payload, std::string* detail)
{
    if (payload.kind != ConfigPayload::Kind::Snapshot)
        return ResultCode::MalformedFrame;
    if (payload.revision < state().revision())
        return ResultCode::StaleRevision;
    return acceptSnapshot(payload, detail);
}

std::error_code ConfigReceiver::checkRevisionOrder(const ConfigPayload& payload) const
{
    if (m_options.checkRevision && payload.revision < state().revision())
        return ResultCode::StaleRevision;
    bool differs = payload.revision == state().revision() && payload.digest != state().digest();
    if (m_options.checkEqualRevision && differs)
        return ResultCode::DigestMismatch;
    return {};
}

std::error_code ConfigReceiver::acceptDelta(const ConfigPayload& payload, std::string* detail)
{
    const ConfigDelta& delta = payload.delta;
    if (m_options.checkBase && delta.toRevision != payload.revision)
        return ResultCode::BaseMismatch;
    if (m_options.checkDigest && delta.toDigest != payload.digest)
        return ResultCode::DigestMismatch;
    ConfigState next = state();
    if (std::error_code error = next.apply(delta, { .base = m_options.checkBase, .digest = m_options.checkDigest }))
        return error;
    if (std::error_code error = checkValid(next, detail))
        return error;
    m_history.append(delta, std::move(next));
    return {};
}

std::error_code ConfigReceiver::acceptSnapshot(const ConfigPayload& payload, std::string* detail)
{
    ConfigState next;
    if (std::error_code error = decodeSnapshot(payload.snapshot, &next, m_options.checkDigest))
        return error;
    if (m_options.checkBase && next.revision() != payload.revision)
        return ResultCode::BaseMismatch;
    if (m_options.checkDigest && next.digest() != payload.digest)
        return ResultCode::DigestMismatch;
    if (std::error_code error = checkValid(next, detail))
        return error;
    m_history.reset(std::move(next));
    return {};
}

std::error_code ConfigReceiver::checkValid(const ConfigState& next, std::string* detail) const
{
    if (m_options.checkValidity && next.validate(detail))
        return ResultCode::InvalidConfiguration;
    return {};
}

} // namespace dragonflylane
