#pragma once

#include "core/finding.h"

#include <QByteArray>
#include <QString>

namespace Rattanpick
{

/// Checks that a change of the document touches only sections of the team that makes it.
///
/// Sections that were there before are owned as the earlier document says, new ones as the later document says.
/// The section [document] and the text before the first section belong to everyone, since each change raises the version.
class OwnershipCheck
{
public:
    /// Builds a check of changes by @p team that names @p file, the later document, in its findings.
    OwnershipCheck(const QString &file, const QString &team);

    /// A finding for each section added, changed or removed that the team does not own, in the order of lines.
    Findings check(const QByteArray &earlier, const QByteArray &later) const;

private:
    QString m_file;
    QString m_team;
};

}
