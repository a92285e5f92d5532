#include "core/finding.h"

namespace Rattanpick
{

QString Finding::toString() const
{
    QString text = QStringLiteral("%1:%2: ").arg(place.file).arg(place.line);
    if (!place.section.isEmpty()) {
        text += QStringLiteral("[%1]: ").arg(place.section);
    }
    text += problem;
    if (!allowed.isEmpty()) {
        text += QStringLiteral(" (allowed: %1)").arg(allowed);
    }
    return text;
}

}
