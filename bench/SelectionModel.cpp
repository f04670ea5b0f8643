#include "bench/SelectionModel.h"

#include "dragonflylane/UpstreamSpeed.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace dragonflylane {

namespace {

    constexpr uint64_t routeKey = 1;
    const TimePoint start { std::chrono::seconds(1000) };

    struct Arrival {
        TimePoint at;
        size_t entry { 0 };
        Duration work { 0 };
    };

    std::vector<Arrival> makeArrivals(const SelectionModelOptions& options)
    {
        std::mt19937_64 random(options.seed);
        double capacity = 0;
        for (size_t i = 0; i < options.hosts; ++i)
            capacity += options.slots * options.speeds[i % options.speeds.size()];
        capacity /= 1 + options.slowShare * (options.slowdown - 1);
        auto mean = static_cast<double>(options.meanWork.count());
        std::exponential_distribution<double> gap(options.load * capacity / mean);
        // Service times vary by a third, and three in a hundred calls take seven times as long.
        constexpr double spread = 0.3;
        constexpr double longShare = 0.03;
        constexpr double longFactor = 7;
        std::lognormal_distribution<double> work(std::log(mean / (1 + longShare * (longFactor - 1))), spread);
        std::bernoulli_distribution isLong(longShare);
        std::vector<Arrival> arrivals;
        for (TimePoint at = start; at < start + options.length;) {
            at += Duration(static_cast<Duration::rep>(gap(random)));
            double length = work(random) * (isLong(random) ? longFactor : 1);
            arrivals.push_back({ at, random() % options.hosts, Duration(static_cast<Duration::rep>(length)) });
        }
        return arrivals;
    }

    /// An upstream that serves calls in order of arrival, each at its full rate.
    class ModelUpstream {
    public:
        ModelUpstream(const SelectionModelOptions& options, size_t index)
            : m_options(options)
            , m_speed(options.speeds[index % options.speeds.size()])
            , m_slotFreeAt(options.slots, start)
        {
            std::mt19937_64 random(options.seed * options.hosts + index);
            std::bernoulli_distribution isSlow(options.slowShare);
            constexpr size_t overrun = 4;
            auto periods = static_cast<size_t>(options.length / options.slowPeriod) * overrun;
            for (size_t i = 0; i < periods; ++i)
                m_isSlow.push_back(isSlow(random));
        }

        double slowness(TimePoint now) const
        {
            auto period = static_cast<size_t>((now - start) / m_options.slowPeriod);
            return period < m_isSlow.size() && m_isSlow[period] ? m_options.slowdown : 1;
        }

        TimePoint startOf(TimePoint at) const
        {
            return std::max(at, *std::min_element(m_slotFreeAt.begin(), m_slotFreeAt.end()));
        }

        TimePoint finishOf(TimePoint at, Duration work) const
        {
            TimePoint now = startOf(at);
            auto left = static_cast<double>(work.count()) / m_speed;
            while (true) {
                auto period = (now - start) / m_options.slowPeriod;
                TimePoint periodEnd = start + (period + 1) * m_options.slowPeriod;
                double possible = static_cast<double>((periodEnd - now).count()) / slowness(now);
                if (left <= possible)
                    return now + Duration(static_cast<Duration::rep>(left * slowness(now)));
                left -= possible;
                now = periodEnd;
            }
        }

        void run(TimePoint at, Duration work)
        {
            TimePoint end = finishOf(at, work);
            *std::min_element(m_slotFreeAt.begin(), m_slotFreeAt.end()) = end;
        }

    private:
        const SelectionModelOptions& m_options;
        double m_speed;
        std::vector<TimePoint> m_slotFreeAt;
        std::vector<bool> m_isSlow;
    };

    std::vector<ModelUpstream> makeUpstreams(const SelectionModelOptions& options)
    {
        std::vector<ModelUpstream> upstreams;
        for (size_t i = 0; i < options.hosts; ++i)
            upstreams.emplace_back(options, i);
        return upstreams;
    }

    /// Collects response times.
    class Responses {
    public:
        void add(Duration latency, bool isRemote)
        {
            m_latencies.push_back(latency);
            m_remote += isRemote ? 1 : 0;
        }

        SelectionResult result(Duration target)
        {
            std::sort(m_latencies.begin(), m_latencies.end());
            auto count = static_cast<double>(m_latencies.size());
            auto quantile = [&](double q) { return m_latencies[static_cast<size_t>(q * (count - 1))]; };
            auto inTime = std::upper_bound(m_latencies.begin(), m_latencies.end(), target) - m_latencies.begin();
            constexpr double median = 0.5;
            constexpr double p99 = 0.99;
            return { quantile(median), quantile(p99), static_cast<double>(inTime) / count, m_remote / count };
        }

    private:
        std::vector<Duration> m_latencies;
        double m_remote { 0 };
    };

    HostId hostName(size_t index)
    {
        return HostId("host-" + std::to_string(index));
    }

    class SelectionRun {
    public:
        SelectionRun(const SelectionModelOptions& options, const std::function<void(UpstreamSelectorOptions&)>& change)
            : m_options(options)
            , m_upstreams(makeUpstreams(options))
            , m_owners(options.hosts)
        {
            std::vector<UpstreamCandidate> candidates;
            for (size_t i = 0; i < options.hosts; ++i)
                candidates.push_back({ UpstreamId(std::to_string(i)), hostName(i), DataCentreName("a"), RegionName("r"),
                    options.slots, true, TimePoint() });
            for (size_t i = 0; i < options.hosts; ++i) {
                UpstreamSelectorOptions selectorOptions { .self = hostName(i),
                    .dataCentre = DataCentreName("a"),
                    .region = RegionName("r"),
                    .seed = options.seed + i };
                change(selectorOptions);
                m_selectors.push_back(std::make_unique<UpstreamSelector>(selectorOptions));
                m_selectors.back()->rebuild(candidates, start);
                m_selectors.back()->setNetworkDelay(options.networkDelay);
            }
        }

        SelectionResult run()
        {
            for (const Arrival& arrival : makeArrivals(m_options)) {
                finishUntil(arrival.at);
                send(arrival);
            }
            return m_responses.result(m_options.target);
        }

    private:
        struct Running {
            Choice choice;
            size_t entry { 0 };
            size_t upstream { 0 };
            Duration serviceTime { 0 };
        };

        struct Owner {
            UpstreamSpeed speed;
            uint32_t outstanding { 0 };
        };

        void send(const Arrival& arrival)
        {
            Choice choice = *m_selectors[arrival.entry]->choose({}, arrival.at);
            auto index = static_cast<size_t>(std::stoul(choice.upstream.value()));
            bool isRemote = index != arrival.entry;
            ModelUpstream& upstream = m_upstreams[index];
            TimePoint end = upstream.finishOf(arrival.at, arrival.work);
            Duration serviceTime = end - upstream.startOf(arrival.at);
            upstream.run(arrival.at, arrival.work);
            ++m_owners[index].outstanding;
            m_responses.add(end - arrival.at + (isRemote ? m_options.networkDelay : Duration::zero()), isRemote);
            m_running.emplace(end, Running { choice, arrival.entry, index, serviceTime });
        }

        void finishUntil(TimePoint now)
        {
            while (!m_running.empty() && m_running.begin()->first <= now) {
                auto [end, call] = *m_running.begin();
                m_running.erase(m_running.begin());
                Owner& owner = m_owners[call.upstream];
                --owner.outstanding;
                constexpr double percent = 100;
                double slowness = m_upstreams[call.upstream].slowness(end);
                owner.speed.recordStated(SlownessPercent(static_cast<uint64_t>(percent * slowness)), end);
                owner.speed.recordServiceTime(routeKey, call.serviceTime, end);
                uint32_t running = std::min(owner.outstanding, m_options.slots);
                LoadReport report { .running = running,
                    .queued = owner.outstanding - running,
                    .limit = m_options.slots,
                    .speed = owner.speed.report(routeKey, end) };
                m_selectors[call.entry]->finished(call.choice, SelectionOutcome::Success, report, end);
            }
        }

        const SelectionModelOptions& m_options;
        std::vector<ModelUpstream> m_upstreams;
        std::vector<Owner> m_owners;
        std::vector<std::unique_ptr<UpstreamSelector>> m_selectors;
        std::multimap<TimePoint, Running> m_running;
        Responses m_responses;
    };

} // namespace

SelectionResult runSelection(
    const SelectionModelOptions& options, const std::function<void(UpstreamSelectorOptions&)>& change)
{
    return SelectionRun(options, change).run();
}

SelectionResult runIdealSelection(const SelectionModelOptions& options)
{
    std::vector<ModelUpstream> upstreams = makeUpstreams(options);
    Responses responses;
    for (const Arrival& arrival : makeArrivals(options)) {
        size_t best = arrival.entry;
        auto latencyAt = [&](size_t index) {
            Duration delay = index == arrival.entry ? Duration::zero() : options.networkDelay;
            return upstreams[index].finishOf(arrival.at, arrival.work) - arrival.at + delay;
        };
        for (size_t i = 0; i < upstreams.size(); ++i) {
            if (latencyAt(i) < latencyAt(best))
                best = i;
        }
        responses.add(latencyAt(best), best != arrival.entry);
        upstreams[best].run(arrival.at, arrival.work);
    }
    return responses.result(options.target);
}

} // namespace dragonflylane
