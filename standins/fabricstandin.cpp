#include "standins/fabricstandin.h"

#include "standins/standinprocess.h"

#include <QFile>

#include <array>
#include <cstdio>

namespace Rattanpick
{

namespace
{

constexpr Duration readInterval = 50ms;
constexpr Duration pollInterval = 5ms;
/// A reordered packet is held back for this time, so that later packets overtake it.
constexpr Duration reorderDelay = 5ms;

}

FabricStandIn::FabricStandIn(const FabricStandInSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
}

int FabricStandIn::run()
{
    if (!m_socket.bind(m_settings.listen)) {
        std::fprintf(stderr, "standin fabric: %s\n", qPrintable(m_socket.lastError()));
        return 1;
    }
    const std::array<UdpSocket *, 1> sockets{&m_socket};
    while (!StandInProcess::shouldStop()) {
        UdpSocket::waitForAny(sockets, pollInterval);
        const TimePoint now = Clock::now();
        readBalancers(now);
        for (const ReceivedDatagram &datagram : m_socket.receive()) {
            handlePacket(now, datagram.bytes);
        }
        while (!m_delayed.empty() && m_delayed.top().due <= now) {
            forward(m_delayed.top().bytes);
            m_delayed.pop();
        }
    }
    return 0;
}

void FabricStandIn::readBalancers(TimePoint now)
{
    if (now < m_nextReadTime) {
        return;
    }
    m_nextReadTime = now + readInterval;
    QFile file(QString::fromStdString(m_settings.balancersFile));
    if (!file.open(QIODevice::ReadOnly)) {
        return;
    }
    m_balancers.clear();
    for (const QByteArray &line : file.readAll().split('\n')) {
        if (const std::optional<Endpoint> balancer = Endpoint::fromString(QString::fromLatin1(line.trimmed()))) {
            m_balancers.push_back(*balancer);
        }
    }
}

void FabricStandIn::handlePacket(TimePoint now, QByteArrayView bytes)
{
    if (drawPercent(m_random, m_settings.dropPercent)) {
        return;
    }
    if (drawPercent(m_random, m_settings.repeatPercent)) {
        m_delayed.push({now + reorderDelay, ++m_order, bytes.toByteArray()});
    }
    if (drawPercent(m_random, m_settings.delayPercent)) {
        m_delayed.push({now + m_settings.delay, ++m_order, bytes.toByteArray()});
    } else if (drawPercent(m_random, m_settings.reorderPercent)) {
        m_delayed.push({now + reorderDelay, ++m_order, bytes.toByteArray()});
    } else {
        forward(bytes);
    }
}

void FabricStandIn::forward(QByteArrayView bytes)
{
    if (!m_balancers.empty()) {
        m_socket.send(m_balancers[m_random() % m_balancers.size()], bytes);
    }
}

}
