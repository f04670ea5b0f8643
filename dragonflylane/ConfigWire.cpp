#include "dragonflylane/ConfigWire.h"

#include "dragonflylane/ConfigThrift.h"
#include "dragonflylane/ThriftCodec.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <memory>
#include <zstd.h>

namespace dragonflylane {

namespace {

    constexpr size_t digestLength = 16;
    constexpr uint32_t byteBits = 8;
    constexpr uint64_t byteMask = 0xff;
    // zstd's default level.
    constexpr int compressionLevel = 3;
    // Deltas below this size are not compressed: the gain would not cover the header and the CPU time.
    constexpr size_t minCompressedBytes = 512;
    // zstd's smallest window (ZSTD_WINDOWLOG_MIN).
    constexpr int minWindowLog = 10;
    // 16 MB, which is two documents of the largest size.
    constexpr int maxWindowLog = 24;

    int32_t narrow(std::chrono::milliseconds value)
    {
        return static_cast<int32_t>(
            std::min<std::chrono::milliseconds::rep>(value.count(), std::numeric_limits<int32_t>::max()));
    }

    struct ItemAppender {
        wire::ConfigItems* out;

        void operator()(const ServiceItem& item) const
        {
            wire::ConfigService service;
            service.name = item.name.value();
            service.timeoutMilliseconds = narrow(item.timeout);
            service.maxAttempts = static_cast<int32_t>(item.maxAttempts);
            service.maxConnections = static_cast<int32_t>(item.maxConnections);
            out->services.push_back(std::move(service));
            out->__isset.services = true;
        }

        void operator()(const RouteItem& item) const
        {
            wire::ConfigRoute route;
            route.name = item.name.value();
            route.pathPrefix = item.pathPrefix;
            for (const SplitPart& part : item.split) {
                route.split.emplace_back();
                route.split.back().serviceName = part.service.value();
                route.split.back().weight = static_cast<int32_t>(part.weight);
            }
            route.timeoutMilliseconds = narrow(item.timeout);
            route.idempotentMethods = item.idempotentMethods;
            if (!item.host.empty())
                route.__set_host(item.host);
            if (item.isIdempotent)
                route.__set_idempotent(*item.isIdempotent);
            route.maxAttempts = static_cast<int32_t>(item.maxAttempts);
            route.priority = static_cast<int32_t>(item.priority);
            route.targetLatencyMilliseconds = narrow(item.targetLatency);
            if (item.isPublic)
                route.__set_isPublic(true);
            out->routes.push_back(std::move(route));
            out->__isset.routes = true;
        }

        void operator()(const CallRuleItem& item) const
        {
            out->callRules.emplace_back();
            out->callRules.back().caller = item.caller.value();
            out->callRules.back().callee = item.callee.value();
            out->__isset.callRules = true;
        }

        void operator()(const DrainItem& item) const
        {
            out->drains.push_back(item.upstream.value());
            out->__isset.drains = true;
        }

        void operator()(const KeeperViewItem& item) const
        {
            wire::ConfigKeeperView view;
            view.epoch = static_cast<int64_t>(item.epoch.value());
            view.hosts = toWire(item.hosts);
            out->__set_keeperView(view);
        }

        void operator()(const MeshPolicyItem& item) const
        {
            wire::ConfigMeshPolicy policy;
            policy.openCalls = item.openCalls;
            policy.maxHeaderBytes = static_cast<int32_t>(item.maxHeaderBytes);
            policy.maxBodyBytes = static_cast<int64_t>(item.maxBodyBytes);
            policy.headerTimeoutMilliseconds = narrow(item.headerTimeout);
            policy.idleTimeoutMilliseconds = narrow(item.idleTimeout);
            if (item.requiresApiKeys)
                policy.__set_requiresApiKeys(true);
            out->__set_meshPolicy(policy);
        }

        void operator()(const TenantItem& item) const
        {
            wire::ConfigTenant tenant;
            tenant.name = item.name.value();
            for (const ApiKeyHash& key : item.keys)
                tenant.keyHashes.push_back(key.bytes());
            tenant.priority = static_cast<int32_t>(item.priority);
            tenant.ratePerSecond = item.ratePerSecond;
            tenant.burst = item.burst;
            out->tenants.push_back(std::move(tenant));
            out->__isset.tenants = true;
        }

        void operator()(const RolloutItem& item) const
        {
            wire::ConfigRollout rollout;
            rollout.serviceName = item.service.value();
            rollout.targetVersion = item.target.value();
            rollout.state = static_cast<int32_t>(item.state);
            rollout.sharePermille = static_cast<int32_t>(item.sharePermille);
            rollout.duration = item.duration.count();
            rollout.elapsed = item.elapsed.count();
            out->rollouts.push_back(std::move(rollout));
            out->__isset.rollouts = true;
        }
    };

    bool readRoute(const wire::ConfigRoute& wireRoute, std::vector<ConfigItem>* items)
    {
        RouteItem route;
        route.name = RouteName(wireRoute.name);
        route.pathPrefix = wireRoute.pathPrefix;
        for (const wire::ConfigSplitPart& part : wireRoute.split) {
            if (part.weight < 0)
                return false;
            route.split.push_back({ ServiceName(part.serviceName), static_cast<uint32_t>(part.weight) });
        }
        if (wireRoute.timeoutMilliseconds < 0 || wireRoute.maxAttempts < 0 || wireRoute.priority < 0)
            return false;
        route.host = wireRoute.host;
        if (wireRoute.__isset.idempotent)
            route.isIdempotent = wireRoute.idempotent;
        route.maxAttempts = static_cast<uint32_t>(wireRoute.maxAttempts);
        route.priority = static_cast<uint32_t>(wireRoute.priority);
        route.targetLatency = std::chrono::milliseconds(wireRoute.targetLatencyMilliseconds);
        route.timeout = std::chrono::milliseconds(wireRoute.timeoutMilliseconds);
        route.idempotentMethods = wireRoute.idempotentMethods;
        route.isPublic = wireRoute.__isset.isPublic && wireRoute.isPublic;
        items->push_back(std::move(route));
        return true;
    }

    bool readTenant(const wire::ConfigTenant& wireTenant, std::vector<ConfigItem>* items)
    {
        TenantItem tenant;
        tenant.name = TenantName(wireTenant.name);
        for (const std::string& bytes : wireTenant.keyHashes) {
            auto key = ApiKeyHash::fromBytes(bytes);
            if (!key)
                return false;
            tenant.keys.push_back(*key);
        }
        if (wireTenant.priority < 0)
            return false;
        tenant.priority = static_cast<uint32_t>(wireTenant.priority);
        tenant.ratePerSecond = wireTenant.ratePerSecond;
        tenant.burst = wireTenant.burst;
        items->push_back(std::move(tenant));
        return true;
    }

    bool readRollout(const wire::ConfigRollout& wireRollout, std::vector<ConfigItem>* items)
    {
        bool isValid = wireRollout.state >= 0 && wireRollout.state <= static_cast<int32_t>(RolloutState::RolledBack)
            && wireRollout.sharePermille >= 0;
        if (!isValid)
            return false;
        items->push_back(RolloutItem { .service = ServiceName(wireRollout.serviceName),
            .target = UpstreamVersion(wireRollout.targetVersion),
            .state = static_cast<RolloutState>(wireRollout.state),
            .sharePermille = static_cast<uint32_t>(wireRollout.sharePermille),
            .duration = std::chrono::milliseconds(wireRollout.duration),
            .elapsed = std::chrono::milliseconds(wireRollout.elapsed) });
        return true;
    }

} // namespace

std::string digestBytes(const Digest& digest)
{
    std::string bytes;
    for (uint64_t half : { digest.high(), digest.low() }) {
        for (int shift = 56; shift >= 0; shift -= static_cast<int>(byteBits))
            bytes.push_back(static_cast<char>((half >> shift) & byteMask));
    }
    return bytes;
}

bool readDigest(const std::string& bytes, Digest* digest)
{
    if (bytes.size() != digestLength)
        return false;
    uint64_t halves[2] = { 0, 0 };
    for (size_t i = 0; i < digestLength; ++i) {
        uint64_t& half = halves[i / sizeof(uint64_t)];
        half = (half << byteBits) | static_cast<uint8_t>(bytes[i]);
    }
    *digest = Digest(halves[0], halves[1]);
    return true;
}

void appendItem(const ConfigItem& item, wire::ConfigItems* out)
{
    std::visit(ItemAppender { out }, item);
}

bool readItems(const wire::ConfigItems& wireItems, std::vector<ConfigItem>* items)
{
    for (const wire::ConfigService& service : wireItems.services) {
        if (service.timeoutMilliseconds < 0 || service.maxAttempts < 0 || service.maxConnections < 0)
            return false;
        items->push_back(
            ServiceItem { ServiceName(service.name), std::chrono::milliseconds(service.timeoutMilliseconds),
                static_cast<uint32_t>(service.maxAttempts), static_cast<uint32_t>(service.maxConnections) });
    }
    for (const wire::ConfigRoute& route : wireItems.routes) {
        if (!readRoute(route, items))
            return false;
    }
    for (const wire::ConfigCallRule& rule : wireItems.callRules)
        items->push_back(CallRuleItem { ServiceName(rule.caller), ServiceName(rule.callee) });
    for (const std::string& upstream : wireItems.drains)
        items->push_back(DrainItem { UpstreamId(upstream) });
    if (wireItems.__isset.keeperView) {
        KeeperViewItem view;
        view.epoch = Epoch(static_cast<uint64_t>(wireItems.keeperView.epoch));
        view.hosts = fromWire(wireItems.keeperView.hosts);
        items->push_back(std::move(view));
    }
    if (wireItems.__isset.meshPolicy) {
        const wire::ConfigMeshPolicy& policy = wireItems.meshPolicy;
        if (policy.maxHeaderBytes < 0 || policy.maxBodyBytes < 0)
            return false;
        items->push_back(MeshPolicyItem { .openCalls = policy.openCalls,
            .maxHeaderBytes = static_cast<uint32_t>(policy.maxHeaderBytes),
            .maxBodyBytes = static_cast<uint64_t>(policy.maxBodyBytes),
            .headerTimeout = std::chrono::milliseconds(policy.headerTimeoutMilliseconds),
            .idleTimeout = std::chrono::milliseconds(policy.idleTimeoutMilliseconds),
            .requiresApiKeys = policy.__isset.requiresApiKeys && policy.requiresApiKeys });
    }
    for (const wire::ConfigTenant& tenant : wireItems.tenants) {
        if (!readTenant(tenant, items))
            return false;
    }
    for (const wire::ConfigRollout& rollout : wireItems.rollouts) {
        if (!readRollout(rollout, items))
            return false;
    }
    return true;
}

std::vector<wire::ConfigKeeperHost> toWire(const std::vector<KeeperHost>& keepers)
{
    std::vector<wire::ConfigKeeperHost> converted;
    converted.reserve(keepers.size());
    for (const KeeperHost& keeper : keepers) {
        wire::ConfigKeeperHost& host = converted.emplace_back();
        host.host = keeper.host.value();
        host.dataCentre = keeper.dataCentre.value();
    }
    return converted;
}

std::vector<KeeperHost> fromWire(const std::vector<wire::ConfigKeeperHost>& keepers)
{
    std::vector<KeeperHost> converted;
    converted.reserve(keepers.size());
    for (const wire::ConfigKeeperHost& keeper : keepers)
        converted.push_back({ HostId(keeper.host), DataCentreName(keeper.dataCentre) });
    return converted;
}

wire::ConfigItemKey toWire(const ItemKey& key)
{
    wire::ConfigItemKey result;
    result.kind = static_cast<int32_t>(key.kind);
    result.name = key.name;
    return result;
}

bool readKey(const wire::ConfigItemKey& wireKey, ItemKey* key)
{
    if (wireKey.kind < static_cast<int32_t>(ItemKind::Service)
        || wireKey.kind > static_cast<int32_t>(ItemKind::Rollout))
        return false;
    *key = { static_cast<ItemKind>(wireKey.kind), wireKey.name };
    return true;
}

wire::ConfigDelta toWire(const ConfigDelta& delta)
{
    wire::ConfigDelta result;
    result.fromRevision = static_cast<int64_t>(delta.fromRevision.value());
    result.fromDigest = digestBytes(delta.fromDigest);
    result.toRevision = static_cast<int64_t>(delta.toRevision.value());
    result.toDigest = digestBytes(delta.toDigest);
    for (const auto& [key, item] : delta.upserts)
        appendItem(item, &result.upserts);
    for (const ItemKey& key : delta.removals)
        result.removals.push_back(toWire(key));
    result.__isset.removals = !delta.removals.empty();
    return result;
}

bool readDelta(const wire::ConfigDelta& wireDelta, ConfigDelta* delta)
{
    ConfigDelta result;
    result.fromRevision = Revision(static_cast<uint64_t>(wireDelta.fromRevision));
    result.toRevision = Revision(static_cast<uint64_t>(wireDelta.toRevision));
    std::vector<ConfigItem> items;
    if (!readDigest(wireDelta.fromDigest, &result.fromDigest) || !readDigest(wireDelta.toDigest, &result.toDigest)
        || !readItems(wireDelta.upserts, &items))
        return false;
    for (ConfigItem& item : items) {
        ItemKey key = keyOf(item);
        if (!result.upserts.emplace(std::move(key), std::move(item)).second)
            return false;
    }
    for (const wire::ConfigItemKey& wireKey : wireDelta.removals) {
        ItemKey key;
        if (!readKey(wireKey, &key) || result.upserts.contains(key) || !result.removals.insert(std::move(key)).second)
            return false;
    }
    *delta = std::move(result);
    return true;
}

wire::ConfigSnapshot toWire(const ConfigState& state)
{
    wire::ConfigSnapshot result;
    result.revision = static_cast<int64_t>(state.revision().value());
    result.digest = digestBytes(state.digest());
    for (const auto& [key, item] : state.items())
        appendItem(*item, &result.items);
    return result;
}

std::error_code readSnapshot(const wire::ConfigSnapshot& snapshot, ConfigState* state, bool checkDigest)
{
    std::vector<ConfigItem> items;
    Digest digest;
    if (!readDigest(snapshot.digest, &digest) || !readItems(snapshot.items, &items))
        return ResultCode::MalformedFrame;
    size_t count = items.size();
    ConfigState result(Revision(static_cast<uint64_t>(snapshot.revision)), std::move(items));
    if (result.items().size() != count)
        return ResultCode::MalformedFrame;
    if (checkDigest && result.digest() != digest)
        return ResultCode::DigestMismatch;
    *state = std::move(result);
    return {};
}

std::string encodeDelta(const ConfigDelta& delta)
{
    return encodeThrift(toWire(delta));
}

std::error_code decodeDelta(std::string_view bytes, ConfigDelta* delta)
{
    wire::ConfigDelta wireDelta;
    if (std::error_code error = decodeThrift(bytes, ConfigWireLimits::payloadBytes, &wireDelta))
        return error;
    if (!readDelta(wireDelta, delta))
        return ResultCode::MalformedFrame;
    return {};
}

std::string encodeRawSnapshot(const ConfigState& state)
{
    return encodeThrift(toWire(state));
}

std::string encodeSnapshot(const ConfigState& state)
{
    return compress(encodeRawSnapshot(state));
}

std::error_code decodeSnapshot(std::string_view bytes, ConfigState* state, bool checkDigest)
{
    std::string raw;
    if (std::error_code error = decompress(bytes, ConfigWireLimits::snapshotBytes, &raw))
        return error;
    wire::ConfigSnapshot snapshot;
    if (std::error_code error = decodeThrift(raw, ConfigWireLimits::snapshotBytes, &snapshot))
        return error;
    return readSnapshot(snapshot, state, checkDigest);
}

size_t transmittedBytes(const ConfigDelta& delta)
{
    std::string raw = encodeDelta(delta);
    return raw.size() < minCompressedBytes ? raw.size() : compress(raw).size();
}

std::string encodePayload(const ConfigPayload& payload)
{
    wire::ConfigPayload result;
    result.kind = static_cast<int32_t>(payload.kind);
    result.revision = static_cast<int64_t>(payload.revision.value());
    result.digest = digestBytes(payload.digest);
    if (payload.kind == ConfigPayload::Kind::Delta) {
        std::string raw = encodeDelta(payload.delta);
        if (raw.size() < minCompressedBytes)
            result.__set_delta(toWire(payload.delta));
        else
            result.__set_compressedDelta(compress(raw));
    }
    if (payload.kind == ConfigPayload::Kind::Snapshot)
        result.__set_snapshot(payload.snapshot);
    return encodeThrift(result);
}

std::error_code decodePayload(std::string_view bytes, ConfigPayload* payload)
{
    wire::ConfigPayload wirePayload;
    if (std::error_code error = decodeThrift(bytes, ConfigWireLimits::payloadBytes, &wirePayload))
        return error;
    ConfigPayload result;
    if (wirePayload.kind < 0 || wirePayload.kind > static_cast<int32_t>(ConfigPayload::Kind::Snapshot))
        return ResultCode::MalformedFrame;
    result.kind = static_cast<ConfigPayload::Kind>(wirePayload.kind);
    result.revision = Revision(static_cast<uint64_t>(wirePayload.revision));
    bool hasDelta = result.kind == ConfigPayload::Kind::Delta;
    bool hasSnapshot = result.kind == ConfigPayload::Kind::Snapshot;
    bool isOneDelta = wirePayload.__isset.delta != wirePayload.__isset.compressedDelta;
    bool isNoDelta = !wirePayload.__isset.delta && !wirePayload.__isset.compressedDelta;
    if (!(hasDelta ? isOneDelta : isNoDelta) || wirePayload.__isset.snapshot != hasSnapshot
        || !readDigest(wirePayload.digest, &result.digest))
        return ResultCode::MalformedFrame;
    if (wirePayload.__isset.delta && !readDelta(wirePayload.delta, &result.delta))
        return ResultCode::MalformedFrame;
    if (wirePayload.__isset.compressedDelta) {
        std::string raw;
        if (std::error_code error = decompress(wirePayload.compressedDelta, ConfigWireLimits::payloadBytes, &raw))
            return error;
        if (std::error_code error = decodeDelta(raw, &result.delta))
            return error;
    }
    result.snapshot = std::move(wirePayload.snapshot);
    *payload = std::move(result);
    return {};
}

std::string compress(std::string_view bytes)
{
    std::string result(ZSTD_compressBound(bytes.size()), '\0');
    size_t size = ZSTD_compress(result.data(), result.size(), bytes.data(), bytes.size(), compressionLevel);
    result.resize(ZSTD_isError(size) ? 0 : size);
    return result;
}

std::string compressAgainst(std::string_view base, std::string_view bytes)
{
    std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    if (!context)
        return {};
    // The window must cover the whole prefix and the new text.
    int windowLog
        = std::clamp(static_cast<int>(std::bit_width(base.size() + bytes.size())), minWindowLog, maxWindowLog);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string result(ZSTD_compressBound(bytes.size()), '\0');
    size_t size = ZSTD_compress2(context.get(), result.data(), result.size(), bytes.data(), bytes.size());
    result.resize(ZSTD_isError(size) ? 0 : size);
    return result;
}

std::error_code decompressAgainst(std::string_view base, std::string_view bytes, size_t maxBytes, std::string* result)
{
    unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        return ResultCode::MalformedFrame;
    if (size > maxBytes)
        return ResultCode::FrameTooLarge;
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    if (!context)
        return ResultCode::StorageFailed;
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, maxWindowLog);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string raw(static_cast<size_t>(size), '\0');
    size_t written = ZSTD_decompressDCtx(context.get(), raw.data(), raw.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(written) || written != raw.size())
        return ResultCode::MalformedFrame;
    *result = std::move(raw);
    return {};
}

std::error_code decompress(std::string_view bytes, size_t maxBytes, std::string* result)
{
    // compress() always writes the content size, so a frame without it comes from other software.
    unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        return ResultCode::MalformedFrame;
    if (size > maxBytes)
        return ResultCode::FrameTooLarge;
    std::string raw(static_cast<size_t>(size), '\0');
    size_t written = ZSTD_decompress(raw.data(), raw.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(written) || written != raw.size())
        return ResultCode::MalformedFrame;
    *result = std::move(raw);
    return {};
}

} // namespace dragonflylane
