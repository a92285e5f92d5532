#include "core/finding.h"

namespace Rattanpick
{

QString Finding::toString() const
{
    QString text = QStringLiteral("%1:%2: ").arg(location.file).arg(location.line);
    if (!location.section.isEmpty()) {
        text += QStringLiteral("[%1]: ").arg(location.section);
    }
    text += problem;
    if (!allowed.isEmpty()) {
        text += QStringLiteral(" (allowed: %1)").arg(allowed);
    }
    return text;
}

}
