#pragma once

#include <fabric/peermessage.h>

#include <algorithm>
#include <random>

namespace Rattanpick
{

/// Generates random field values for codec tests, reproducible from the seed.
class RandomValues
{
public:
    explicit RandomValues(quint64 seed)
        : m_random(seed)
    {
    }

    template <typename Number = quint64>
    Number number()
    {
        return static_cast<Number>(m_random());
    }

    quint64 below(quint64 limit)
    {
        return m_random() % limit;
    }

    bool boolean()
    {
        return below(2) == 1;
    }

    Endpoint endpoint()
    {
        return {number<quint32>(), number<quint16>()};
    }

    FlowKey flow()
    {
        return {endpoint(), endpoint(), number<quint8>()};
    }

    Hop hop()
    {
        return {TargetId{number<quint32>()}, endpoint()};
    }

    QByteArray bytes(quint64 limit)
    {
        QByteArray result(static_cast<qsizetype>(below(limit + 1)), Qt::Uninitialized);
        std::generate(result.begin(), result.end(), [this] { return number<char>(); });
        return result;
    }

    HopList hops()
    {
        HopList hops;
        for (quint64 count = below(HopList::maximumSize + 1); count > 0; --count) {
            hops.append(hop());
        }
        hops.setVisitedMask(number<quint8>());
        return hops;
    }

    DirectoryEntry directoryEntry()
    {
        return {flow(), number(), hop(), number<Incarnation>()};
    }

    RefusalReason refusalReason()
    {
        return static_cast<RefusalReason>(below(static_cast<quint64>(RefusalReason::DataCentreOut) + 1));
    }

private:
    std::mt19937_64 m_random;
};

}
