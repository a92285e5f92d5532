#include "agent/refusaldetail.h"

#include <array>

namespace Rattanpick
{

QString refusalDetail(RefusalReason reason)
{
    static const std::array<QString, 15> details{
        QString(),
        QStringLiteral("overloaded"),
        QStringLiteral("cold"),
        QStringLiteral("draining"),
        QStringLiteral("stopping"),
        QStringLiteral("connection limit"),
        QStringLiteral("deadline passed"),
        QStringLiteral("cancelled"),
        QStringLiteral("recovering"),
        QStringLiteral("no target"),
        QStringLiteral("other incarnation"),
        QStringLiteral("forgotten"),
        QStringLiteral("target lost"),
        QStringLiteral("target timeout"),
        QStringLiteral("data centre out"),
    };
    const auto index = static_cast<std::size_t>(reason);
    return index < details.size() ? details[index] : QString();
}

}
