#include "dragonflylane/RolloutCommands.h"

#include "dragonflylane/ConfigState.h"

namespace dragonflylane {

namespace {

    const RolloutItem* findRollout(const ConfigState& state, const ServiceName& service)
    {
        const ConfigItem* item = state.find(rolloutKey(service));
        return item ? std::get_if<RolloutItem>(item) : nullptr;
    }

    RolloutChange rejectRollout(ResultCode code, std::string detail)
    {
        return { .code = code, .detail = std::move(detail), .item = std::nullopt };
    }

} // namespace

std::optional<std::chrono::milliseconds> rolloutDuration(double seconds)
{
    std::chrono::duration<double> time(seconds);
    // The comparison is false for a number that is not finite, too.
    if (!(time.count() > 0 && time <= RolloutLimits::duration))
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(time);
}

// A roll-out that has ended counts as the same one if target and duration are equal. Otherwise an order that is sent
// again because its answer was lost would start a version again that has just been rolled back.
RolloutChange applyRolloutCommand(const StartRolloutCommand& command, const ConfigState& state)
{
    if (!state.find(serviceKey(command.service)))
        return rejectRollout(ResultCode::UnknownService, "the service is not configured");
    if (command.duration <= std::chrono::milliseconds::zero() || command.duration > RolloutLimits::duration)
        return rejectRollout(ResultCode::InvalidValue, "the duration is out of range");
    RolloutItem item { .service = command.service, .target = command.target, .duration = command.duration };
    std::string detail;
    if (std::error_code error = checkItem(item, &detail))
        return rejectRollout(resultCode(error), std::move(detail));
    const RolloutItem* current = findRollout(state, command.service);
    if (!current)
        return { .code = ResultCode::Ok, .detail = {}, .item = std::move(item) };
    bool isRunning = current->state == RolloutState::Running;
    bool isSameTarget = current->target == command.target;
    if (isRunning && !isSameTarget)
        return rejectRollout(
            ResultCode::RolloutConflict, "the roll-out of version " + current->target.value() + " runs");
    if (isSameTarget && (isRunning || current->duration == command.duration))
        return {};
    return { .code = ResultCode::Ok, .detail = {}, .item = std::move(item) };
}

RolloutChange applyRolloutCommand(const AdvanceRolloutCommand& command, const ConfigState& state)
{
    const RolloutItem* current = findRollout(state, command.service);
    if (!current || current->state != RolloutState::Running || current->target != command.target)
        return {};
    RolloutItem item = *current;
    item.state = command.state;
    item.sharePermille = command.sharePermille;
    item.elapsed = std::max(current->elapsed, command.elapsed);
    std::string detail;
    if (std::error_code error = checkItem(item, &detail))
        return rejectRollout(resultCode(error), std::move(detail));
    if (item == *current)
        return {};
    return { .code = ResultCode::Ok, .detail = {}, .item = std::move(item) };
}

} // namespace dragonflylane
