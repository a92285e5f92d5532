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

/// What a FabricStandIn is built from.
struct FabricStandInSettings
{
    Endpoint listen;
    /// One balancer's fabric endpoint a line; read again when it changes.
    std::string balancersFile;
    quint64 seed = 1;
    int dropPercent = 0;
    int delayPercent = 0;
    int repeatPercent = 0;
    int reorderPercent = 0;
    Duration delay = 50ms;
};

/// Stands in for the fabric: sprays each packet of a caller over the balancers at random.
class FabricStandIn
{
public:
    /// Builds a stand-in that does not listen yet.
    explicit FabricStandIn(const FabricStandInSettings &settings);

    /// Works until a stop signal; the exit code.
    int run();

private:
    struct Delayed
    {
        TimePoint due{};
        quint64 order = 0;
        QByteArray bytes;

        bool operator>(const Delayed &other) const
        {
            return due != other.due ? due > other.due : order > other.order;
        }
    };

    void readBalancers(TimePoint now);
    void pass(TimePoint now, QByteArrayView bytes);
    void spray(QByteArrayView bytes);

    FabricStandInSettings m_settings;
    std::mt19937_64 m_random;
    UdpSocket m_socket;
    std::vector<Endpoint> m_balancers;
    TimePoint m_readDeadline;
    std::priority_queue<Delayed, std::vector<Delayed>, std::greater<>> m_delayed;
    quint64 m_order = 0;
};

}
