#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fulmarledge/balancer.h"
#include "fulmarledge/ports.h"
#include "fulmarledge/snapshot.h"

namespace fulmarledge::requesttest {

/// Deterministic generator (SplitMix64).
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_state(seed)
    {
    }
    std::uint64_t below(std::uint64_t bound) override
    {
        m_state += 0x9e3779b97f4a7c15;
        std::uint64_t mixed = (m_state ^ (m_state >> 30)) * 0xbf58476d1ce4e5b9;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
        return (mixed ^ (mixed >> 31)) % bound;
    }
    TimeMs between(TimeMs low, TimeMs high)
    {
        return low + static_cast<TimeMs>(below(static_cast<std::uint64_t>(high - low) + 1));
    }
    bool chance(unsigned percent)
    {
        return below(100) < percent;
    }

private:
    std::uint64_t m_state;
};

/// Record of an alive host that serves "bookings".
inline wire::HostRecord hostRecord(const std::string &host, const std::string &zone = "ikeja", std::int32_t slots = 12)
{
    wire::HostRecord record;
    record.host = host;
    record.zone = zone;
    record.serviceName = "bookings";
    record.state = wire::HostState::Serving;
    record.liveness = wire::Liveness::Alive;
    record.slots = slots;
    return record;
}

/// Records of hosts "b-0", "b-1" and so on, spread over `zones` zones "z-0", "z-1" and so on.
inline std::vector<wire::HostRecord> hostRecords(int count, int zones = 1, std::int32_t slots = 12)
{
    std::vector<wire::HostRecord> records;
    for (int i = 0; i < count; ++i) {
        records.push_back(hostRecord("b-" + std::to_string(i), "z-" + std::to_string(i % zones), slots));
    }
    return records;
}

/// Snapshot with "bookings" as its only service, on the hosts of `records`.
inline std::shared_ptr<const Snapshot> bookingsSnapshot(const std::vector<wire::HostRecord> &records)
{
    std::string hosts;
    for (const wire::HostRecord &record : records) {
        hosts += (hosts.empty() ? "\"" : ",\"") + record.host + "\"";
    }
    LastReason error;
    const auto manifest = Manifest::parse(R"({"format":1,"services":[{"name":"bookings","backend_servers":[)" + hosts
                                              + R"(]}],"routes":[{"path_prefix":"/bookings","service":"bookings"}]})",
                                          error);
    return Snapshot::build(1, manifest.value(), records);
}

/// Handle of "bookings" in these snapshots.
constexpr ServiceHandle kBookingsService{0};

} // namespace fulmarledge::requesttest
