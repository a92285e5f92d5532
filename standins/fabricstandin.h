#pragma once

#include <core/endpoint.h>
#include <core/timepoint.h>
#include <fabric/udpsocket.h>

#include <QByteArray>

#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Rattanpick
{

/// Settings of a FabricStandIn.
struct FabricStandInSettings
{
    Endpoint listen;
    /// File with the fabric endpoint of one balancer per line; changes take effect while the stand-in runs.
    std::string balancersFile;
    quint64 seed = 1;
    int dropPercent = 0;
    int delayPercent = 0;
    int repeatPercent = 0;
    int reorderPercent = 0;
    Duration delay = 50ms;
};

/// Stand-in for the fabric: forwards each packet of a caller to a random balancer.
class FabricStandIn
{
public:
    /// Creates a stand-in; it does not listen before run().
    explicit FabricStandIn(const FabricStandInSettings &settings);

    /// Runs until a stop signal. Returns the exit code.
    int run();

private:
    struct DelayedPacket
    {
        TimePoint due{};
        quint64 order = 0;
        QByteArray bytes;

        bool operator>(const DelayedPacket &other) const
        {
            return due != other.due ? due > other.due : order > other.order;
        }
    };

    void readBalancers(TimePoint now);
    void handlePacket(TimePoint now, QByteArrayView bytes);
    void forward(QByteArrayView bytes);

    FabricStandInSettings m_settings;
    std::mt19937_64 m_random;
    UdpSocket m_socket;
    std::vector<Endpoint> m_balancers;
    TimePoint m_nextReadTime;
    std::priority_queue<DelayedPacket, std::vector<DelayedPacket>, std::greater<>> m_delayed;
    quint64 m_order = 0;
};

}
